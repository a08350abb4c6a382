#include "peers/record_push.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "peers/peer_client_settings.h"
#include "peers/record_codec.h"

namespace knapweedstile::gateway {
namespace {

constexpr char kTarget[] = "/records";
// An entry that does not take records in this time is cut off or overloaded; it
// then reads them from the store.
constexpr std::chrono::milliseconds kPushTimeout{600};
constexpr unsigned kTaken = 200;
// One message: below the largest value of the store.
constexpr size_t kMaxMessageBytes = 900 << 10;

// Far beyond what the callers' server reaches.
constexpr uint64_t kFirstExchange = 1ULL << 62;
// Gateways of other cells call seldom; their connections are not kept for long.
constexpr std::chrono::milliseconds kIdleTimeout{5000};

http::ServerSettings PushServerSettings() {
  http::ServerSettings settings;
  settings.first_exchange = kFirstExchange;
  settings.max_connections = 1000;
  settings.max_body_bytes = 4 << 20;
  settings.idle_timeout = kIdleTimeout;
  return settings;
}

// Zero where there is no number: nothing is confirmed then.
uint64_t CountOf(const std::string& text) {
  uint64_t count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return count;
}

}  // namespace

RecordPush::RecordPush(boost::asio::io_context& io, std::string name,
                       uint64_t start, Handlers handlers)
    : name_(std::move(name)),
      start_(start),
      handlers_(std::move(handlers)),
      server_(io, PushServerSettings(),
              [this](http::ServerEvent&& event) {
                return OnRequest(std::move(event));
              }),
      client_(io, PeerClientSettings(),
              [this](http::ClientEvent&& event) { OnSent(std::move(event)); }) {
}

Result<bool> RecordPush::Listen(const std::string& address) {
  BOOST_LEAF_CHECK(server_.Listen(address));
  return true;
}

void RecordPush::Respond(ExchangeId exchange, std::string body) {
  server_.Execute(http::RespondCommand{
      .exchange = exchange, .status = 200, .body = std::move(body)});
}

bool RecordPush::IsPeerExchange(ExchangeId exchange) {
  return exchange.value() >= kFirstExchange;
}

void RecordPush::Execute(http::ServerCommand&& command) {
  server_.Execute(std::move(command));
}

void RecordPush::Push(const StoreRecord& record,
                      const std::map<std::string, std::string>& addresses) {
  ++count_;
  const auto shared = std::make_shared<const std::string>(PackRecord(record));
  for (const auto& [entry, address] : addresses) {
    Outbox& outbox = outboxes_[address];
    outbox.records.push_back(shared);
    outbox.count = count_;
    if (!outbox.in_flight) SendNext(address);
  }
}

void RecordPush::SendNext(const std::string& address) {
  Outbox& outbox = outboxes_[address];
  std::string list;
  while (!outbox.records.empty()) {
    const std::string& record = *outbox.records.front();
    if (!list.empty() && list.size() + record.size() > kMaxMessageBytes) break;
    list += record;
    outbox.records.pop_front();
  }
  const uint64_t count = outbox.count - outbox.records.size();
  std::string message = EncodePush(name_, start_, count, list);
  outbox.in_flight = true;
  const ExchangeId exchange(++last_exchange_);
  exchanges_[exchange] = address;
  http::ClientRequest request{.exchange = exchange,
                              .address = address,
                              .method = "POST",
                              .target = kTarget,
                              .body = std::move(message),
                              .deadline = MonotonicNow() + kPushTimeout};
  request.headers.Add("Host", address);
  client_.Send(std::move(request));
}

void RecordPush::OnSent(http::ClientEvent&& event) {
  const auto* end = std::get_if<http::EndEvent>(&event);
  if (!end) return;
  auto found = exchanges_.extract(end->exchange);
  if (found.empty()) return;
  const std::string& address = found.mapped();
  Outbox& outbox = outboxes_[address];
  outbox.in_flight = false;
  const bool taken =
      end->outcome == http::ClientOutcome::kComplete && end->status == kTaken;
  if (taken) {
    // What the receiver says, not what was sent: an answer that came too late
    // is made up for by the next, and a gap before this message is not hidden.
    OnAcknowledged(address, CountOf(end->body));
  } else {
    // The receiver sees by the count that it lacks records and asks the store.
    LogWarning("push_failed", {{"address", address},
                               {"outcome", NameOf(end->outcome)},
                               {"dropped", outbox.records.size()}});
    outbox.records.clear();
  }
  if (!outbox.records.empty()) SendNext(address);
}

void RecordPush::OnAcknowledged(const std::string& address, uint64_t count) {
  Outbox& outbox = outboxes_[address];
  if (count <= outbox.acknowledged) return;
  outbox.acknowledged = count;
  handlers_.acknowledged();
}

uint64_t RecordPush::AcknowledgedBy(
    const std::map<std::string, std::string>& addresses) const {
  uint64_t heard = count_;
  for (const auto& [entry, address] : addresses) {
    const auto outbox = outboxes_.find(address);
    if (outbox == outboxes_.end()) return 0;
    heard = std::min(heard, outbox->second.acknowledged);
  }
  return heard;
}

bool RecordPush::OnRequest(http::ServerEvent&& event) {
  auto* request = std::get_if<http::RequestEvent>(&event);
  if (!request) {
    if (disconnect_handler_)
      disconnect_handler_(std::get<http::DisconnectEvent>(event).exchange);
    return true;
  }
  if (request->target != kTarget && other_handler_) {
    other_handler_(std::move(*request));
    return true;
  }
  http::RespondCommand answer{.exchange = request->exchange, .status = kTaken};
  if (auto pushed = DecodePush(request->body)) {
    const uint64_t known =
        handlers_.received(pushed->gateway, pushed->start, pushed->count,
                           std::move(pushed->records));
    answer.body = std::to_string(known);
  } else {
    LogWarning("push_invalid", {{"bytes", request->body.size()}});
    answer.status = 400;
  }
  server_.Execute(std::move(answer));
  return true;
}

}  // namespace knapweedstile::gateway
