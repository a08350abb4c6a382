#include "store/store_relay.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "peers/peer_client_settings.h"
#include "store/store_calls.h"
#include "store/stored_object_json.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;
using platform::ReadRequest;
using platform::StoreAnswer;
using platform::StoreCall;
using platform::StoreOutcome;
using platform::WriteRequest;

constexpr char kTarget[] = "/store";
// The relaying peer's own call ends this much before the requesting gateway's
// deadline.
constexpr std::chrono::milliseconds kResponseMargin{50};
constexpr std::chrono::milliseconds kMaxCallDuration{1500};
// For this long after a failed call, calls go to other peers.
constexpr std::chrono::milliseconds kAvoidance{2000};

std::string EncodeCall(const StoreCall& call, Duration budget) {
  json::object object = {{"budget_ms", ToMillis(budget)}};
  if (const auto* write = std::get_if<WriteRequest>(&call)) {
    object["kind"] = write->kind;
    object["name"] = write->name;
    object["create"] = write->value;
  } else {
    const auto& read = std::get<ReadRequest>(call);
    object["kind"] = read.kind;
    object["name"] = read.name;
  }
  return json::serialize(object);
}

StoreCall DecodeCall(const json::object& object) {
  const std::string kind(object.at("kind").as_string());
  const std::string name(object.at("name").as_string());
  const json::value* value = object.if_contains("create");
  if (!value) return ReadRequest{.kind = kind, .name = name};
  return WriteRequest{.kind = kind,
                      .name = name,
                      .if_version = 0,
                      .value = std::string(value->as_string())};
}

std::string EncodeAnswer(const StoreAnswer& answer) {
  return json::serialize(json::object{{"outcome", NameOf(answer.outcome)},
                                      {"version", answer.version},
                                      {"objects", ToJson(answer.objects)}});
}

StoreAnswer DecodeAnswer(const json::object& object) {
  StoreAnswer answer;
  answer.outcome =
      ParseEnum<StoreOutcome>(std::string(object.at("outcome").as_string()))
          .value_or(StoreOutcome::kUnknown);
  answer.version = object.at("version").to_number<uint64_t>();
  answer.objects = ObjectsFromJson(object.at("objects").as_array());
  return answer;
}

StoreAnswer AnswerOf(const http::EndEvent& end) {
  StoreAnswer answer;
  if (end.outcome == http::ClientOutcome::kNotSent) {
    answer.outcome = StoreOutcome::kNotSent;
    return answer;
  }
  json::error_code ec;
  const json::value parsed = json::parse(end.body, ec);
  // Boost.JSON throws on a missing field or one of another type.
  try {
    if (!ec && end.status == 200) return DecodeAnswer(parsed.as_object());
  } catch (const std::exception& error) {
    LogWarning("relay_answer_invalid", {{"reason", error.what()}});
  }
  answer.outcome = StoreOutcome::kUnknown;
  return answer;
}

}  // namespace

StoreRelay::StoreRelay(boost::asio::io_context& io, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      client_(io, PeerClientSettings(), [this](http::ClientEvent&& event) {
        OnEvent(std::move(event));
      }) {}

bool StoreRelay::IsRelayTarget(std::string_view target) {
  return target == kTarget;
}

bool StoreRelay::MayRelay(const StoreCall& call) {
  if (std::holds_alternative<ReadRequest>(call)) return true;
  const auto* write = std::get_if<WriteRequest>(&call);
  return write && write->if_version == 0;
}

void StoreRelay::Call(const StoreCall& call, TimePoint deadline,
                      Callback callback) {
  const TimePoint now = MonotonicNow();
  const TimePoint call_deadline = std::min(deadline, now + kMaxCallDuration);
  const std::string address = callbacks_.peer_address(AvoidedPeers(now));
  const ExchangeId exchange(++last_exchange_);
  pending_calls_.emplace(exchange, PendingCall{address, std::move(callback)});
  http::ClientRequest request{
      .exchange = exchange,
      .address = address,
      .method = "POST",
      .target = kTarget,
      .body = EncodeCall(call, Remaining(call_deadline - kResponseMargin, now)),
      .deadline = call_deadline};
  request.headers.Add("Host", address);
  client_.Send(std::move(request));
}

void StoreRelay::OnEvent(http::ClientEvent&& event) {
  const auto* end = std::get_if<http::EndEvent>(&event);
  if (!end) return;
  auto found = pending_calls_.extract(end->exchange);
  if (found.empty()) return;
  PendingCall& call = found.mapped();
  StoreAnswer answer = AnswerOf(*end);
  if (StoreCalls::IsFailure(answer.outcome)) {
    LogInfo("relay_failed",
            {{"peer", call.address}, {"outcome", NameOf(answer.outcome)}});
    avoided_until_[call.address] = MonotonicNow() + kAvoidance;
  }
  call.callback(std::move(answer));
}

// Guards against relaying call after call through a peer that has lost the
// store as well and does not know it.
std::set<std::string> StoreRelay::AvoidedPeers(TimePoint now) {
  std::erase_if(avoided_until_,
                [now](const auto& peer) { return peer.second <= now; });
  std::set<std::string> avoided;
  for (const auto& [address, until] : avoided_until_) avoided.insert(address);
  return avoided;
}

void StoreRelay::OnRequest(const http::RequestEvent& request) {
  json::error_code ec;
  const json::value parsed = json::parse(request.body, ec);
  try {
    if (ec) throw boost::system::system_error(ec);
    const json::object& object = parsed.as_object();
    const TimePoint deadline =
        MonotonicNow() +
        std::chrono::milliseconds(object.at("budget_ms").to_number<int64_t>());
    callbacks_.perform(
        DecodeCall(object), deadline,
        [this, exchange = request.exchange](StoreAnswer&& answer) {
          callbacks_.respond(exchange, EncodeAnswer(answer));
        });
  } catch (const std::exception& error) {
    LogWarning("relay_call_invalid", {{"reason", error.what()}});
    callbacks_.respond(request.exchange, "{}");
  }
}

}  // namespace knapweedstile::gateway
