#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "online/online_calls.h"
#include "online/online_limits.h"
#include "servers/attempt_end.h"
#include "users_platform/request_headers.h"

// Forwards the responses of backend servers to callers, and handles attempts
// that fail.
namespace knapweedstile::gateway {
namespace {

using serving::RouteKind;
using users_platform::DecodeAnswer;
using users_platform::ServerAnswer;

// The most attempts of one request that are not executed: enough to get past a
// server that has just terminated or filled up, few enough not to load a fleet
// that is down with a hundred attempts.
constexpr uint32_t kMaxUnexecutedAttempts = 4;

std::string JoinHex(const std::vector<uint64_t>& values) {
  std::string text;
  for (const uint64_t value : values) {
    if (!text.empty()) text += ',';
    text += ToHex(value);
  }
  return text.empty() ? "-" : text;
}

http::HeaderList ResponseHeaders(const OnlineCall& call) {
  http::HeaderList headers = users_platform::EndToEndHeaders(call.head);
  if (call.own_interface) headers.Add("X-Request-Id", call.request_id);
  return headers;
}

}  // namespace

OnlineCall* OnlineCalls::FindUpstream(ExchangeId upstream) {
  const auto found = upstreams_.find(upstream);
  if (found == upstreams_.end()) return nullptr;
  const auto call = calls_.find(found->second);
  return call == calls_.end() ? nullptr : &call->second;
}

void OnlineCalls::OnUpstream(http::ClientEvent&& event) {
  const ExchangeId upstream =
      std::visit([](const auto& e) { return e.exchange; }, event);
  OnlineCall* call = FindUpstream(upstream);
  if (!call) return;
  if (auto* head = std::get_if<http::HeadEvent>(&event)) {
    OnHead(*call, std::move(*head));
  } else if (auto* body = std::get_if<http::BodyEvent>(&event)) {
    OnBody(*call, std::move(*body));
  } else {
    OnEnd(*call, std::get<http::EndEvent>(std::move(event)));
  }
}

void OnlineCalls::OnHead(OnlineCall& call, http::HeadEvent&& event) {
  const ServerAnswer response = DecodeAnswer(event.status, event.headers);
  if (!response.RespondsTo(call.request_id)) {
    connections_.Cancel(call.upstream);
    return OnAttemptBroken(call, kForeignAnswer);
  }
  call.status = event.status;
  call.head = std::move(event.headers);
  if (!response.ok() || response.not_executed) return;
  scheduler_.MarkReachable(call.server);
  crashing_parts_.OnServerResponded(scheduler_.Process(call.server),
                                    call.sent_at);
  StartResponse(call);
}

bool OnlineCalls::StartResponse(OnlineCall& call) {
  if (call.response_started) return false;
  call.response_started = true;
  callbacks_.to_caller(
      http::BeginStreamCommand{.exchange = call.caller,
                               .status = call.status,
                               .headers = ResponseHeaders(call)});
  return true;
}

void OnlineCalls::OnBody(OnlineCall& call, http::BodyEvent&& event) {
  if (!call.response_started || call.status / 100 != 2) {
    call.body += event.data;
    return;
  }
  call.reader.Append(event.data);
  const bool in_order = ForwardEvents(call);
  if (in_order && !call.reader.IsMalformed()) return;
  connections_.Cancel(call.upstream);
  OnAttemptBroken(call, in_order ? kMalformedStream : "event_out_of_order");
}

// Forwards the complete events that have arrived. Returns false if one is
// missing or duplicated: the caller must not take the stream for complete.
bool OnlineCalls::ForwardEvents(OnlineCall& call) {
  std::string data;
  bool in_order = true;
  size_t count = 0;
  while (auto event = call.reader.Next()) {
    if (event->id && call.last_event && *event->id != *call.last_event + 1) {
      in_order = false;
      break;
    }
    if (event->id) call.last_event = event->id;
    data += event->raw;
    ++count;
  }
  if (data.empty()) return in_order;
  call.received_event = true;
  if (call.stream_software.empty()) {
    call.stream_software = call.software;
    if (call.route.resumable) {
      callbacks_.stream_began(call.request_id,
                              {Hash64(call.service), call.software});
    }
  }
  ObserveEvents(call, count);
  if (call.first_byte_at == TimePoint{}) {
    call.first_byte_at = MonotonicNow();
    metrics_.Observe("knap_first_event_seconds",
                     ToSeconds(call.first_byte_at - call.request.received_at),
                     {call.route.name,
                      std::string(scheduler_.SharingPolicyName(call.server))});
    waiting_.OnResponse(call, call.first_byte_at);
  }
  callbacks_.to_caller(http::StreamChunkCommand{.exchange = call.caller,
                                                .data = std::move(data)});
  return in_order;
}

void OnlineCalls::OnEnd(OnlineCall& call, http::EndEvent&& event) {
  const TimePoint now = MonotonicNow();
  if (event.outcome == http::ClientOutcome::kNotSent) {
    scheduler_.MarkUnreachable(call.server, now);
    ObserveFailure(call, /*by_deadline=*/false);
    LogWarning("server_unreachable", {{"request", call.request_id},
                                      {"server", call.address},
                                      {"reason", event.message}});
    return RetryNotExecuted(call);
  }
  if (event.outcome == http::ClientOutcome::kUnsendable) {
    return RefuseUnsendable(call, event.message);
  }
  if (event.outcome != http::ClientOutcome::kComplete) {
    const bool only_foreign = event.skipped_responses > 0 &&
                              event.outcome == http::ClientOutcome::kDeadline;
    return OnAttemptBroken(
        call, only_foreign ? kForeignAnswer : NameOf(event.outcome));
  }
  if (!call.response_started || call.status == 0) {
    const ServerAnswer response = DecodeAnswer(event.status, event.headers);
    if (!response.RespondsTo(call.request_id)) {
      return OnAttemptBroken(call, kForeignAnswer);
    }
    call.status = event.status;
    call.head = std::move(event.headers);
    if (call.body.empty()) call.body = std::move(event.body);
  }
  OnComplete(call);
}

void OnlineCalls::OnComplete(OnlineCall& call) {
  const ServerAnswer response = DecodeAnswer(call.status, call.head);
  if (response.not_executed) {
    if (response.wrong_instance) {
      scheduler_.MarkUnreachable(call.server, MonotonicNow());
    } else {
      scheduler_.MarkFull(call.server, MonotonicNow());
    }
    return RetryNotExecuted(call);
  }
  if (call.response_started && response.ok()) {
    if (EndsEarly(call.head, call.reader, call.received_event))
      return OnAttemptBroken(call, kPartialEvent);
    scheduler_.ObserveDuration(call.server, MonotonicNow() - call.sent_at);
    scheduler_.OnAttemptServed(call.server, MonotonicNow());
    callbacks_.to_caller(
        http::StreamChunkCommand{.exchange = call.caller,
                                 .data = std::string(call.reader.Rest()),
                                 .last = true});
    return Finish(call, call.status, "answered");
  }
  const bool failed = call.status >= kServerError;
  if (failed && (call.response_started || CanRetryElsewhere(call))) {
    return OnAttemptBroken(call, "server_error");
  }
  if (failed) {
    ObserveFailure(call, call.status == kGatewayTimeout);
  } else {
    waiting_.OnResponse(call, MonotonicNow());
    scheduler_.MarkReachable(call.server);
    scheduler_.ObserveDuration(call.server, MonotonicNow() - call.sent_at);
    ObserveResponse(call);
  }
  callbacks_.to_caller(http::RespondCommand{.exchange = call.caller,
                                            .status = call.status,
                                            .headers = ResponseHeaders(call),
                                            .body = std::move(call.body)});
  Finish(call, call.status, "answered");
}

void OnlineCalls::ObserveEvents(OnlineCall& call, size_t count) {
  const TimePoint now = MonotonicNow();
  const auto sample = call.pace.OnEvents(count, now);
  if (sample) scheduler_.ObservePace(call.server, *sample);
}

void OnlineCalls::ObserveFailure(const OnlineCall& call, bool by_deadline) {
  const TimePoint now = MonotonicNow();
  const bool had_time = now - call.sent_at >= call.route.latency_objective;
  if (!by_deadline || had_time) scheduler_.OnAttemptFailed(call.server, now);
}

void OnlineCalls::ObserveResponse(const OnlineCall& call) {
  const TimePoint now = MonotonicNow();
  scheduler_.OnAttemptServed(call.server, now);
  const auto sample = call.pace.OnResponse(now);
  const bool ok = call.status / 100 == 2;
  if (sample && ok) scheduler_.ObservePace(call.server, *sample);
}

bool OnlineCalls::CanRetryElsewhere(const OnlineCall& call) const {
  const bool retryable =
      call.route.IsRetryable() ||
      (call.route.kind == RouteKind::kStream && call.route.resumable);
  return retryable && call.runs + 1 < call.route.max_attempts &&
         MonotonicNow() < call.deadline;
}

// Handles an attempt that may have been executed without a complete response.
void OnlineCalls::OnAttemptBroken(OnlineCall& call, std::string_view reason) {
  const bool retry = CanRetryElsewhere(call);
  LogWarning("attempt_broken",
             {{"request", call.request_id},
              {"server", call.address},
              {"software", call.software},
              {"reason", reason},
              {"parts", JoinHex(call.prompt_parts)},
              {"age_ms", ToMillis(MonotonicNow() - call.sent_at)},
              {"passing", call.response_started},
              {"again", retry}});
  if (IsCrash(reason)) ObserveCrash(call);
  ObserveFailure(call, reason == NameOf(http::ClientOutcome::kDeadline) ||
                           call.status == kGatewayTimeout);
  call.excluded.push_back(call.server);
  EndAttempt(call);
  ++call.runs;
  if (retry && crashes_.IsQuarantined(call.fingerprint)) {
    return Fail(call, kBadGateway, "crashes_servers");
  }
  if (retry) return Dispatch(call);
  const bool timeout =
      reason != kForeignAnswer && MonotonicNow() >= call.deadline;
  Fail(call, timeout ? kGatewayTimeout : kBadGateway, reason);
}

void OnlineCalls::RetryNotExecuted(OnlineCall& call) {
  call.excluded.push_back(call.server);
  EndAttempt(call);
  ++call.unexecuted_attempts;
  if (call.unexecuted_attempts < kMaxUnexecutedAttempts) return Dispatch(call);
  if (call.runs > 0) return Fail(call, kBadGateway, "not_run_too_often");
  Reject(call, kRetryAfterFailedAttempts, "not_run_too_often");
}

}  // namespace knapweedstile::gateway
