#include "platform/http_platform.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "http/client.h"

namespace knapweedstile::platform {

namespace {

namespace json = boost::json;

// Bounds a call whose asker set no deadline: an exchange that never ends would
// keep its entry here for ever.
constexpr Duration kLongestCall = std::chrono::seconds(30);
// Beyond a watch's own wait, for its answer to arrive.
constexpr Duration kWatchGrace = std::chrono::seconds(5);
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

constexpr unsigned kOkStatus = 200;
constexpr unsigned kNotFoundStatus = 404;
constexpr unsigned kConflictStatus = 409;
constexpr unsigned kThrottledStatus = 429;
constexpr unsigned kOutageStatus = 503;

bool IsUnreserved(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded += c;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

std::string ObjectTarget(std::string_view kind, std::string_view name) {
  return fmt::format("/v1/objects/{}/{}", PercentEncode(kind),
                     PercentEncode(name));
}

http::ClientRequest HttpRequestFor(const ReadRequest& call, TimePoint /*now*/) {
  http::ClientRequest request;
  request.target = ObjectTarget(call.kind, call.name);
  return request;
}

http::ClientRequest HttpRequestFor(const WriteRequest& call,
                                   TimePoint /*now*/) {
  http::ClientRequest request;
  request.method = "PUT";
  request.target = fmt::format(
      "{}?if_version={}", ObjectTarget(call.kind, call.name), call.if_version);
  request.body = call.value;
  return request;
}

http::ClientRequest HttpRequestFor(const DeleteRequest& call,
                                   TimePoint /*now*/) {
  http::ClientRequest request;
  request.method = "DELETE";
  request.target = fmt::format(
      "{}?if_version={}", ObjectTarget(call.kind, call.name), call.if_version);
  return request;
}

http::ClientRequest HttpRequestFor(const ListRequest& call, TimePoint /*now*/) {
  http::ClientRequest request;
  request.target =
      fmt::format("/v1/objects/{}?prefix={}&after={}&limit={}&values={}",
                  PercentEncode(call.kind), PercentEncode(call.prefix),
                  call.after, call.limit, call.values);
  return request;
}

http::ClientRequest HttpRequestFor(const WatchRequest& call, TimePoint now) {
  std::string kinds;
  for (const std::string& kind : call.kinds) {
    if (!kinds.empty()) kinds += ',';
    kinds += PercentEncode(kind);
  }
  http::ClientRequest request;
  request.target =
      fmt::format("/v1/watch?kinds={}&after={}&wait_ms={}", kinds, call.after,
                  ToMillis(Remaining(call.wait_until, now)));
  return request;
}

http::ClientRequest HttpRequestFor(const VmListRequest& /*call*/,
                                   TimePoint /*now*/) {
  http::ClientRequest request;
  request.target = "/v1/vms";
  return request;
}

TimePoint DeadlineOf(const StoreRequest& request, TimePoint now) {
  TimePoint longest = now + kLongestCall;
  if (const auto* watch = std::get_if<WatchRequest>(&request.call)) {
    longest = std::max(now, std::min(watch->wait_until, longest)) + kWatchGrace;
  }
  return std::min(request.deadline, longest);
}

uint64_t UintField(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (field == nullptr) return 0;
  json::error_code ec;
  const auto number = field->to_number<uint64_t>(ec);
  return ec ? 0 : number;
}

bool BoolField(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  return field != nullptr && field->is_bool() && field->get_bool();
}

std::string TextField(json::object& object, std::string_view name) {
  json::value* field = object.if_contains(name);
  if (field == nullptr || !field->is_string()) return {};
  return std::string(field->get_string());
}

StoredObject ParseStored(json::object& object) {
  StoredObject stored;
  stored.kind = TextField(object, "kind");
  stored.name = TextField(object, "name");
  stored.version = UintField(object, "version");
  stored.deleted = BoolField(object, "deleted");
  stored.value = TextField(object, "value");
  return stored;
}

Vm ParseVm(json::object& object) {
  Vm vm;
  vm.name = TextField(object, "name");
  vm.address = TextField(object, "address");
  vm.availability_zone = TextField(object, "availability_zone");
  vm.role = TextField(object, "role");
  vm.target = TextField(object, "target");
  // A state that this release does not know gets no new work.
  vm.state = ParseEnum<VmState>(TextField(object, "state"))
                 .value_or(VmState::kLeaving);
  return vm;
}

template <typename Element, typename Parse>
void ParseArray(json::object& body, std::string_view name,
                std::vector<Element>& out, Parse parse) {
  json::value* field = body.if_contains(name);
  if (field == nullptr || !field->is_array()) return;
  for (json::value& element : field->get_array()) {
    if (element.is_object()) out.push_back(parse(element.get_object()));
  }
}

Duration RetryAfterOf(const http::HeaderList& headers) {
  const std::string_view text = headers.Find("Retry-After");
  uint32_t seconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (parsed.ec != std::errc()) return kDefaultRetryAfter;
  return std::chrono::seconds(seconds);
}

StoreOutcome OutcomeOfStatus(unsigned status) noexcept {
  switch (status) {
    case kOkStatus:
      return StoreOutcome::kOk;
    case kNotFoundStatus:
      return StoreOutcome::kNotFound;
    case kConflictStatus:
      return StoreOutcome::kConflict;
    case kThrottledStatus:
      return StoreOutcome::kThrottled;
    case kOutageStatus:
      return StoreOutcome::kNotSent;
    default:
      break;
  }
  // A server error other than the documented 503 does not say whether the call
  // took effect; an error of the client's does: it was refused.
  constexpr unsigned kServerErrors = 500;
  return status >= kServerErrors ? StoreOutcome::kUnknown
                                 : StoreOutcome::kRejected;
}

// Fills the answer from the body of a 200 or 409. False when it is not the JSON
// that was promised.
bool ParseBody(const std::string& text, bool is_read, StoreAnswer& answer) {
  json::error_code ec;
  json::value parsed = json::parse(text, ec);
  if (ec || !parsed.is_object()) return false;
  json::object& body = parsed.get_object();
  answer.version = UintField(body, "version");
  answer.revision = UintField(body, "revision");
  answer.more = BoolField(body, "more");
  if (is_read) answer.objects.push_back(ParseStored(body));
  ParseArray(body, "objects", answer.objects, ParseStored);
  ParseArray(body, "vms", answer.vms, ParseVm);
  return true;
}

// True when nothing of the call can have taken effect.
bool IsNotSent(const http::EndEvent& end) noexcept {
  return end.outcome == http::ClientOutcome::kNotSent;
}

StoreAnswer AnswerOf(const http::EndEvent& end, bool is_read) {
  StoreAnswer answer;
  answer.message = end.message;
  if (end.outcome != http::ClientOutcome::kComplete) {
    answer.outcome =
        IsNotSent(end) ? StoreOutcome::kNotSent : StoreOutcome::kUnknown;
    return answer;
  }
  answer.outcome = OutcomeOfStatus(end.status);
  if (answer.outcome == StoreOutcome::kThrottled) {
    answer.retry_after = RetryAfterOf(end.headers);
  }
  const bool has_body = answer.outcome == StoreOutcome::kOk ||
                        answer.outcome == StoreOutcome::kConflict;
  const bool reads_object = is_read && answer.outcome == StoreOutcome::kOk;
  if (has_body && !ParseBody(end.body, reads_object, answer)) {
    // An answer that cannot be read says nothing about the effect.
    answer.outcome = StoreOutcome::kUnknown;
    answer.message = "the answer is not the promised JSON";
  }
  if (answer.outcome == StoreOutcome::kRejected) answer.message = end.body;
  return answer;
}

}  // namespace

class HttpPlatform::Impl {
 public:
  Impl(boost::asio::io_context& io, std::vector<std::string> addresses,
       AnswerSink sink)
      : io_(io),
        addresses_(std::move(addresses)),
        sink_(std::move(sink)),
        client_(io, http::ClientSettings{}, [this](http::ClientEvent&& event) {
          if (auto* end = std::get_if<http::EndEvent>(&event)) OnEnd(*end);
        }) {}

  void Call(StoreRequest&& request) {
    const ExchangeId exchange(++last_exchange_);
    Pending& pending = pending_[exchange];
    pending.request = std::move(request);
    pending.deadline = DeadlineOf(pending.request, MonotonicNow());
    if (addresses_.empty()) {
      boost::asio::post(io_, [this, exchange] {
        http::EndEvent end;
        end.exchange = exchange;
        end.message = "no address of the platform is set";
        Finish(end);
      });
      return;
    }
    Send(exchange, pending);
  }

 private:
  struct Pending {
    StoreRequest request;
    TimePoint deadline;
    size_t tried = 0;  // addresses
  };

  void Send(ExchangeId exchange, const Pending& pending) {
    http::ClientRequest sent = std::visit(
        [](const auto& call) { return HttpRequestFor(call, MonotonicNow()); },
        pending.request.call);
    sent.exchange = exchange;
    sent.address = addresses_[current_ % addresses_.size()];
    sent.deadline = pending.deadline;
    sent.headers.Add("Content-Type", "application/json");
    client_.Send(std::move(sent));
  }

  // Another address is tried only for a call of which no byte was written, so
  // that no call takes effect twice.
  void OnEnd(const http::EndEvent& end) {
    const auto it = pending_.find(end.exchange);
    if (it == pending_.end()) return;
    if (IsNotSent(end)) {
      ++current_;
      const bool tries_left = ++it->second.tried < addresses_.size();
      if (tries_left && MonotonicNow() < it->second.deadline) {
        Send(end.exchange, it->second);
        return;
      }
    }
    Finish(end);
  }

  void Finish(const http::EndEvent& end) {
    const auto it = pending_.find(end.exchange);
    if (it == pending_.end()) return;
    const StoreRequest request = std::move(it->second.request);
    pending_.erase(it);
    StoreAnswer answer =
        AnswerOf(end, std::holds_alternative<ReadRequest>(request.call));
    answer.token = request.token;
    sink_(std::move(answer));
  }

  boost::asio::io_context& io_;
  std::vector<std::string> addresses_;
  AnswerSink sink_;
  std::unordered_map<ExchangeId, Pending> pending_;
  uint64_t last_exchange_ = 0;
  size_t current_ = 0;
  http::Client client_;
};

HttpPlatform::HttpPlatform(boost::asio::io_context& io,
                           std::vector<std::string> addresses, AnswerSink sink)
    : impl_(std::make_unique<Impl>(io, std::move(addresses), std::move(sink))) {
}

HttpPlatform::~HttpPlatform() = default;

void HttpPlatform::Call(StoreRequest&& request) {
  impl_->Call(std::move(request));
}

}  // namespace knapweedstile::platform
