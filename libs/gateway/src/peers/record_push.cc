#include "peers/record_push.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "peers/peer_client_settings.h"
#include "peers/record_codec.h"
#include "resource_limits.h"

namespace knapweedstile::gateway {
namespace {

constexpr char kTarget[] = "/records";
// Causes of the bytes queued.
constexpr std::string_view kRecords = "records";
constexpr std::string_view kOutlines = "outlines";
// A peer that does not accept records in this time is partitioned or
// overloaded; it then reads them from the store.
constexpr std::chrono::milliseconds kPushTimeout{600};
constexpr unsigned kAccepted = 200;
// Limit for one message; smaller than the largest value in the store.
constexpr size_t kMaxMessageBytes = 900 << 10;

// Beyond any exchange id that the caller-facing server reaches.
constexpr uint64_t kFirstExchange = 1ULL << 62;
// Gateways in other cells call rarely, so their connections are not kept for
// long.
constexpr std::chrono::milliseconds kIdleTimeout{5000};

http::ServerSettings PushServerSettings(const ResourceLimits& limits) {
  http::ServerSettings settings;
  settings.first_exchange = kFirstExchange;
  settings.max_connections = limits.peer_connections;
  settings.max_held_bytes = limits.peer_bytes;
  settings.max_body_bytes = 4 << 20;
  settings.idle_timeout = kIdleTimeout;
  return settings;
}

// Returns 0, which acknowledges nothing, if the text is not a number.
uint64_t ParseCount(const std::string& text) {
  uint64_t count = 0;
  std::from_chars(text.data(), text.data() + text.size(), count);
  return count;
}

}  // namespace

RecordPush::RecordPush(boost::asio::io_context& io,
                       const ResourceLimits& limits, std::string name,
                       uint64_t start, Handlers handlers)
    : name_(std::move(name)),
      start_(start),
      handlers_(std::move(handlers)),
      server_(io, PushServerSettings(limits),
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
  const auto packed = std::make_shared<const std::string>(PackRecord(record));
  for (const auto& [peer, address] : addresses) {
    Queue(address, packed, kRecords);
  }
}

void RecordPush::Push(const StoreRecord& record, const StoreRecord& outline,
                      const std::map<std::string, std::string>& addresses,
                      const std::vector<std::string>& holders) {
  ++count_;
  const auto packed = std::make_shared<const std::string>(PackRecord(record));
  const auto packed_outline =
      std::make_shared<const std::string>(PackRecord(outline));
  for (const auto& [peer, address] : addresses) {
    const bool holds =
        std::find(holders.begin(), holders.end(), peer) != holders.end();
    if (holds) {
      Queue(address, packed, kRecords);
    } else {
      Queue(address, packed_outline, kOutlines);
    }
  }
}

void RecordPush::Queue(const std::string& address,
                       const std::shared_ptr<const std::string>& packed,
                       std::string_view cause) {
  Outbox& outbox = outboxes_[address];
  outbox.records.push_back(packed);
  outbox.count = count_;
  if (!outbox.in_flight) SendNext(address);
  handlers_.queued(cause, packed->size());
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
  const bool accepted = end->outcome == http::ClientOutcome::kComplete &&
                        end->status == kAccepted;
  if (accepted) {
    // The count that the receiver reports, not what was sent: the next response
    // compensates for one that came too late, and a gap before this message is
    // not hidden.
    OnAcknowledged(address, ParseCount(end->body));
  } else {
    // The receiver detects the missing records by the advertised count and
    // reads the store.
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
  uint64_t acknowledged = count_;
  for (const auto& [peer, address] : addresses) {
    const auto outbox = outboxes_.find(address);
    if (outbox == outboxes_.end()) return 0;
    acknowledged = std::min(acknowledged, outbox->second.acknowledged);
  }
  return acknowledged;
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
  http::RespondCommand answer{.exchange = request->exchange,
                              .status = kAccepted};
  if (auto pushed = DecodePush(request->body)) {
    const uint64_t received =
        handlers_.received(pushed->gateway, pushed->start, pushed->count,
                           std::move(pushed->records));
    answer.body = std::to_string(received);
  } else {
    LogWarning("push_invalid", {{"bytes", request->body.size()}});
    answer.status = 400;
  }
  server_.Execute(std::move(answer));
  return true;
}

}  // namespace knapweedstile::gateway
