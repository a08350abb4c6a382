#include "batch/job_forwarder.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_call.h"
#include "peers/peer_client_settings.h"

namespace knapweedstile::gateway {
namespace {

constexpr char kTarget[] = "/job-call";
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// Callers wait four seconds for the response to a submission.
constexpr std::chrono::milliseconds kMaxCallDuration{3800};
// A read may wait one second at the holder, and a write takes as long if the
// store is slow. A stalled holder must leave enough time to try the next one.
constexpr std::chrono::milliseconds kMaxTryDuration{1900};
// A holder answers a read of a known result at once. Readers wait 1.5 s beyond
// the time for which they poll: enough for two holders and then the store.
constexpr std::chrono::milliseconds kMaxReadDuration{300};
constexpr std::chrono::milliseconds kUnreachableDuration{2000};
constexpr std::chrono::milliseconds kRetryAfter{300};
constexpr size_t kMaxTries = 4;

// Headers that this gateway's own server sets.
constexpr std::array<std::string_view, 6> kConnectionHeaders = {
    "Connection", "Content-Length", "Transfer-Encoding",
    "Keep-Alive", "Date",           kPackedHeader};

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [name](const auto& excluded) {
                       return boost::beast::iequals(name, excluded);
                     });
}

}  // namespace

JobForwarder::JobForwarder(boost::asio::io_context& io, size_t max_calls,
                           observe::Metrics& metrics, Callbacks callbacks)
    : max_calls_(max_calls),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      client_(io, PeerClientSettings(), [this](http::ClientEvent&& event) {
        OnEvent(std::move(event));
      }) {}

bool JobForwarder::IsTarget(std::string_view target) {
  return target == kTarget;
}

bool JobForwarder::IsUnreachable(const std::string& address, TimePoint now) {
  const auto known = unreachable_until_.find(address);
  if (known == unreachable_until_.end()) return false;
  if (known->second > now) return true;
  unreachable_until_.erase(known);
  return false;
}

void JobForwarder::Forward(const http::RequestEvent& request,
                           const std::string& job,
                           const CallerIdentity& caller) {
  Start({.caller = request.exchange,
         .job = job,
         .message = EncodeJobCall(request, caller),
         .holders = callbacks_.holders(job),
         .give_up_at = MonotonicNow() + kMaxCallDuration});
}

void JobForwarder::ForwardTo(std::vector<std::string> addresses,
                             const http::RequestEvent& request,
                             const std::string& job,
                             const CallerIdentity& caller,
                             std::function<void()> unanswered) {
  const TimePoint now = MonotonicNow();
  std::erase_if(addresses, [&](const std::string& address) {
    return IsUnreachable(address, now);
  });
  Start({.caller = request.exchange,
         .job = job,
         .message = EncodeJobCall(request, caller),
         .holders = std::move(addresses),
         .give_up_at = now + 2 * kMaxReadDuration,
         .unanswered = std::move(unanswered)});
}

void JobForwarder::Start(Call&& call) {
  if (calls_.size() >= max_calls_) return GiveUp(call);
  const TimePoint now = MonotonicNow();
  std::stable_partition(
      call.holders.begin(), call.holders.end(),
      [&](const std::string& address) { return !IsUnreachable(address, now); });
  if (call.holders.size() > kMaxTries) call.holders.resize(kMaxTries);
  std::reverse(call.holders.begin(), call.holders.end());
  TryNext(std::move(call));
}

void JobForwarder::TryNext(Call&& call) {
  const TimePoint now = MonotonicNow();
  if (call.holders.empty() || now >= call.give_up_at) return GiveUp(call);
  const ExchangeId exchange(++last_exchange_);
  call.current_holder = std::move(call.holders.back());
  call.holders.pop_back();
  const Duration max_try = call.unanswered ? kMaxReadDuration : kMaxTryDuration;
  http::ClientRequest request{
      .exchange = exchange,
      .address = call.current_holder,
      .method = "POST",
      .target = kTarget,
      .body = call.message,
      .deadline = std::min(call.give_up_at, now + max_try)};
  request.headers.Add("Host", request.address);
  calls_.emplace(exchange, std::move(call));
  client_.Send(std::move(request));
}

void JobForwarder::OnEvent(http::ClientEvent&& event) {
  auto* end = std::get_if<http::EndEvent>(&event);
  if (!end) return;
  auto found = calls_.extract(end->exchange);
  if (found.empty()) return;
  Call& call = found.mapped();
  const bool answered =
      end->outcome == http::ClientOutcome::kComplete && UnpackResponse(*end);
  // A holder that does not have all records yet is no reason to let the caller
  // of a read wait.
  const bool behind = call.unanswered && end->status == kUnavailable;
  if (answered && end->status != kMisdirected && !behind) {
    return Respond(call, std::move(*end));
  }
  LogInfo("job_call_not_answered",
          {{"job", call.job},
           {"outcome", answered ? "misdirected" : NameOf(end->outcome)},
           {"holders_left", call.holders.size()},
           {"reason", end->message}});
  if (!answered) {
    unreachable_until_[call.current_holder] =
        MonotonicNow() + kUnreachableDuration;
    if (end->outcome != http::ClientOutcome::kNotSent)
      call.maybe_accepted = true;
  }
  TryNext(std::move(call));
}

void JobForwarder::Respond(const Call& call, http::EndEvent&& answer) {
  // An earlier holder may have accepted the job that this one rejects.
  const bool rejected =
      answer.status == kUnavailable || answer.status == kTooManyRequests;
  if (rejected && call.maybe_accepted) return GiveUp(call);
  metrics_.Add("knap_job_calls_forwarded_total", {"answered"});
  http::RespondCommand command{.exchange = call.caller,
                               .status = answer.status,
                               .body = std::move(answer.body)};
  for (const auto& [name, value] : answer.headers.fields()) {
    if (!IsConnectionHeader(name)) command.headers.Add(name, value);
  }
  callbacks_.to_caller(std::move(command));
}

void JobForwarder::GiveUp(const Call& call) {
  if (call.unanswered) return call.unanswered();
  metrics_.Add("knap_job_calls_forwarded_total", {"no_holder"});
  LogWarning("job_call_given_up",
             {{"job", call.job}, {"maybe_taken", call.maybe_accepted}});
  http::RespondCommand command{
      .exchange = call.caller,
      .status = call.maybe_accepted ? kGatewayTimeout : kUnavailable};
  command.headers.Add("Retry-After",
                      fmt::format("{:.3f}", ToSeconds(kRetryAfter)));
  callbacks_.to_caller(std::move(command));
}

void JobForwarder::OnCallerDisconnected(ExchangeId caller) {
  for (auto at = calls_.begin(); at != calls_.end(); ++at) {
    if (at->second.caller != caller) continue;
    client_.Cancel(at->first);
    calls_.erase(at);
    return;
  }
}

}  // namespace knapweedstile::gateway
