#include "online/online_calls.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "callers/error_response.h"
#include "online/online_limits.h"
#include "servers/attempt_end.h"
#include "serving/service_choice.h"
#include "serving/stream_origins.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

using serving::RouteKind;

// A retryable request without a response after this multiple of its latency
// objective is sent to another server: an unresponsive server is not detected
// otherwise.
constexpr double kAttemptTimeoutObjectives = 1.5;
constexpr std::chrono::milliseconds kMinAttemptTimeout{150};
// A caller that leaves after this multiple of the objective, without a response
// head, has left because of the server.
constexpr int kStalledAfterObjectives = 2;
// The version of a stream stays unknown: the caller should begin it anew.
constexpr Duration kRetryAfterUnknownVersion =
    serving::StreamOrigins::kLifetime;
// A server that has crashed is registered again after about this time.
constexpr std::chrono::seconds kRetryAfterVersionLeft{1};
// A request that crashes servers is not served until its quarantine ends.
constexpr std::chrono::seconds kQuarantineRetry{60};
// Shortest Retry-After of a request with a part that is to be tried again.
constexpr std::chrono::seconds kMinQuarantineRetry{1};

}  // namespace

// Answers traffic beyond all slots of which a part is less urgent. Less urgent
// requests may wait in a queue half as long, so that the rest of each queue is
// left to the urgent ones, which are then rejected last.
Duration OnlineCalls::QueueObjective(const OnlineCall& call) {
  constexpr int kLessUrgentDivisor = 2;
  const Duration objective = call.route.latency_objective;
  return call.less_urgent ? objective / kLessUrgentDivisor : objective;
}

OnlineCalls::OnlineCalls(ServerConnections& connections,
                         serving::SlotScheduler& scheduler,
                         serving::CrashTracker& crash_tracker,
                         serving::CrashingParts& crashing_parts,
                         observe::Metrics& metrics, observe::Timeline& timeline,
                         uint64_t seed, Callbacks callbacks)
    : scheduler_(scheduler),
      crashes_(crash_tracker),
      crashing_parts_(crashing_parts),
      metrics_(metrics),
      timeline_(timeline),
      rng_(seed),
      waiting_(metrics, seed + 1),
      callbacks_(std::move(callbacks)),
      connections_(connections),
      sink_([this](http::ClientEvent&& event) {
        OnUpstream(std::move(event));
      }) {}

void OnlineCalls::Begin(http::RequestEvent&& request,
                        const serving::Route& route,
                        const CallerIdentity& caller, bool less_urgent) {
  const ExchangeId id = request.exchange;
  OnlineCall& call = calls_[id];
  call.caller = id;
  call.request_id = caller.request_id;
  call.workspace = caller.workspace;
  call.admitted_at = MonotonicNow();
  call.own_interface = caller.own_interface;
  call.less_urgent = less_urgent;
  call.continues_stream = caller.continues_stream;
  call.resumes = caller.resumes;
  call.route = route;
  call.service = ChooseService(route);
  call.deadline = request.received_at + route.timeout;
  if (caller.budget) {
    call.deadline =
        std::min(call.deadline, request.received_at + *caller.budget);
  }
  call.fingerprint =
      HashCombine(HashCombine(Hash64(caller.host), Hash64(request.target)),
                  Hash64(request.body));
  call.prompt_parts = users_platform::SharedPromptParts(request.headers);
  call.request = std::move(request);
  waiting_.OnArrival(call, call.admitted_at);
  call.excluded =
      callbacks_.excluded_servers(call.route, call.service, caller.workspace);
  if (crashes_.IsQuarantined(call.fingerprint)) {
    return Reject(call, kQuarantineRetry, "crashes_servers");
  }
  const bool resumes = call.route.kind == RouteKind::kStream &&
                       call.route.resumable && call.continues_stream;
  if (resumes) return ResumeStream(call);
  Dispatch(call);
}

const std::string& OnlineCalls::ChooseService(const serving::Route& route) {
  const auto* share = serving::ChooseService(
      route.services, rng_, [this](const std::string& service) {
        return scheduler_.HasServer(service);
      });
  return share ? share->service : route.services.front().service;
}

void OnlineCalls::ResumeStream(OnlineCall& call) {
  const ExchangeId caller = call.caller;
  if (call.resumes.empty()) return ResumeAtOnlyOrigin(caller);
  callbacks_.find_stream(call.resumes, [this, caller](const auto& origin) {
    if (origin) return ResumeAt(caller, *origin);
    ResumeAtOnlyOrigin(caller);
  });
}

void OnlineCalls::ResumeAtOnlyOrigin(ExchangeId caller) {
  const auto found = calls_.find(caller);
  if (found == calls_.end()) return;
  callbacks_.find_only_origin(
      found->second.route.name,
      [this, caller](const std::optional<serving::StreamOrigin>& origin,
                     bool answered) {
        if (origin) return ResumeAt(caller, *origin);
        RejectUnknownVersion(caller, answered ? kRetryAfterUnknownVersion
                                              : kRetryAfterFailedAttempts);
      });
}

void OnlineCalls::RejectUnknownVersion(ExchangeId caller,
                                       Duration retry_after) {
  const auto found = calls_.find(caller);
  if (found == calls_.end()) return;
  metrics_.Add("knap_streams_resumed_total", {"version_unknown"});
  Reject(found->second, retry_after, "stream_version_unknown");
}

void OnlineCalls::ResumeAt(ExchangeId caller,
                           const serving::StreamOrigin& origin) {
  const auto found = calls_.find(caller);
  if (found == calls_.end()) return;
  OnlineCall& call = found->second;
  const auto& services = call.route.services;
  const auto share = std::find_if(
      services.begin(), services.end(),
      [&](const auto& s) { return Hash64(s.service) == origin.service; });
  if (share == services.end() ||
      !scheduler_.HasVersion(share->service, origin.software)) {
    metrics_.Add("knap_streams_resumed_total", {"version_left"});
    return Reject(call, kRetryAfterVersionLeft, "stream_version_left");
  }
  metrics_.Add("knap_streams_resumed_total", {"placed"});
  if (call.service != share->service) {
    call.service = share->service;
    call.excluded =
        callbacks_.excluded_servers(call.route, call.service, call.workspace);
  }
  call.stream_software = origin.software;
  Dispatch(call);
}

bool OnlineCalls::RejectQuarantined(OnlineCall& call) {
  const auto part = crashing_parts_.FindQuarantined(call.prompt_parts);
  if (!part) return false;
  const TimePoint now = MonotonicNow();
  // A request that has broken is not the one to try the part with.
  const bool has_run = call.runs > 0;
  if (!has_run && crashing_parts_.MayTry(call.prompt_parts, now)) return false;
  constexpr std::string_view kCause = "prompt_part_crashes_servers";
  crashing_parts_.OnRejected(*part, now);
  if (has_run) {
    Fail(call, kBadGateway, kCause);
  } else {
    const Duration until_trial =
        crashing_parts_.NextTrialAt(call.prompt_parts) - now;
    Reject(call,
           std::clamp<Duration>(until_trial, kMinQuarantineRetry,
                                kQuarantineRetry),
           kCause);
  }
  return true;
}

void OnlineCalls::RecordTrial(const OnlineCall& call) {
  const auto part = crashing_parts_.FindQuarantined(call.prompt_parts);
  if (!part) return;
  crashing_parts_.OnTrialSent(call.prompt_parts, call.sent_at);
  metrics_.Add("knap_prompt_part_trials_total");
  LogWarning("prompt_part_trial", {{"part", ToHex(*part)},
                                   {"request", call.request_id},
                                   {"server", call.address}});
}

void OnlineCalls::ObserveCrash(const OnlineCall& call) {
  const TimePoint now = MonotonicNow();
  crashes_.OnAttemptBroken(call.fingerprint, now);
  crashing_parts_.OnCrash(call.prompt_parts,
                          {.process = scheduler_.Process(call.server),
                           .request = call.fingerprint,
                           .sent_at = call.sent_at,
                           .ended_at = now});
}

void OnlineCalls::Dispatch(OnlineCall& call) {
  const TimePoint now = MonotonicNow();
  if (now >= call.deadline) {
    if (call.runs > 0) return Fail(call, kGatewayTimeout, "deadline");
    return Reject(call, kRetryAfterFailedAttempts, "deadline");
  }
  if (connections_.full()) {
    if (call.runs > 0) return Fail(call, kBadGateway, "connection_limit");
    return Reject(call, kRetryAfterFailedAttempts, "connection_limit");
  }
  // Requests that wait go before those of the same rank that come. What they
  // leave is of no use to them, since policies exclude it.
  if (waiting_.HasWaiting(call.service))
    PlaceWaiting(waiting_.WaitingBefore(call, StandingOf(call)));
  // One of those may have become the trial of a part.
  if (RejectQuarantined(call)) return;
  const auto placement = scheduler_.PlaceOnline(
      call.service, QueueObjective(call), FilterOf(call), now);
  // A stream that continues has already started: it is never rejected because
  // of a queue.
  const bool continues = call.response_started || !call.stream_software.empty();
  const bool resumes_stream = continues && placement.server;
  if (placement.outcome != serving::PlacementOutcome::kPlaced &&
      !resumes_stream) {
    if (call.runs > 0) return Fail(call, kBadGateway, "no_server_to_repeat");
    if (placement.outcome == serving::PlacementOutcome::kSaturated) {
      call.backlog = placement.retry_after;
      return WaitOrReject(call);
    }
    return Reject(call, placement.retry_after, NameOf(placement.outcome));
  }
  SendToPlacement(call, placement);
}

void OnlineCalls::SendToPlacement(OnlineCall& call,
                                  const serving::Placement& placement) {
  call.preempted_batch = placement.preempts_batch;
  SendTo(call, placement.server);
  if (placement.preempts_batch) {
    callbacks_.preempt(placement.server, placement.preempted_peer);
  }
}

void OnlineCalls::SendTo(OnlineCall& call, BackendServerId server) {
  const TimePoint now = MonotonicNow();
  const serving::ServerRecord& record = *scheduler_.Record(server);
  call.server = server;
  call.address = record.address;
  call.software = record.software;
  call.usage_at_send = scheduler_.UsageOf(server);
  call.sent_at = now;
  RecordTrial(call);
  const bool queued = call.usage_at_send.total() >= record.slots;
  call.pace = AttemptPace(TrafficClass::kOnline, queued, now);
  call.status = 0;
  call.body.clear();
  call.received_event = false;
  call.reader.Reset();
  call.upstream = connections_.Open(sink_);
  upstreams_[call.upstream] = call.caller;
  users_platform::ForwardedFields fields{.instance = record.instance,
                                         .request_id = call.request_id,
                                         .workspace = call.workspace};
  fields.budget = Remaining(call.deadline, now);
  if (call.response_started) fields.after_event = call.last_event;
  http::ClientRequest request;
  request.exchange = call.upstream;
  request.address = record.address;
  request.method = call.request.method;
  request.target = call.request.target;
  request.headers =
      users_platform::ForwardedHeaders(call.request.headers, fields);
  request.body = call.request.body;
  request.deadline = call.deadline;
  if (call.route.IsRetryable() && call.runs + 1 < call.route.max_attempts) {
    const Duration attempt_timeout =
        std::max<Duration>(kMinAttemptTimeout,
                           FromSeconds(ToSeconds(call.route.latency_objective) *
                                       kAttemptTimeoutObjectives));
    request.deadline = std::min(request.deadline, now + attempt_timeout);
  }
  request.stream_body = call.route.kind == RouteKind::kStream;
  scheduler_.OnRequestStarted(server, TrafficClass::kOnline);
  callbacks_.usage_changed();
  connections_.Send(std::move(request));
}

void OnlineCalls::EndAttempt(OnlineCall& call) {
  if (!call.server) return;
  upstreams_.erase(call.upstream);
  scheduler_.OnRequestEnded(call.server, TrafficClass::kOnline);
  call.server = BackendServerId();
  callbacks_.usage_changed();
}

// Only for requests without an attempt that may have been executed.
void OnlineCalls::Reject(OnlineCall& call, Duration retry_after,
                         std::string_view cause) {
  if (!call.workspace.empty())
    callbacks_.not_executed(call.workspace, call.admitted_at);
  callbacks_.to_caller(
      ToCommand(call.caller, {.status = kUnavailable,
                              .code = cause,
                              .message = "the request was not executed",
                              .request_id = call.request_id,
                              .execution = ExecutionStatus::kNotExecuted,
                              .retry_after = retry_after}));
  Finish(call, kUnavailable, cause);
}

void OnlineCalls::RefuseUnsendable(OnlineCall& call, std::string_view reason) {
  const std::string_view cause = NameOf(http::ClientOutcome::kUnsendable);
  if (!call.workspace.empty())
    callbacks_.not_executed(call.workspace, call.admitted_at);
  callbacks_.to_caller(
      ToCommand(call.caller, {.status = kBadRequest,
                              .code = cause,
                              .message = reason,
                              .request_id = call.request_id,
                              .execution = ExecutionStatus::kNotExecuted}));
  Finish(call, kBadRequest, cause);
}

void OnlineCalls::Fail(OnlineCall& call, unsigned status,
                       std::string_view cause) {
  if (call.response_started) {
    callbacks_.to_caller(http::AbortCommand{call.caller});
  } else {
    callbacks_.to_caller(
        ToCommand(call.caller, {.status = status,
                                .code = cause,
                                .message = "the request may have been executed",
                                .request_id = call.request_id,
                                .execution = ExecutionStatus::kUnknown}));
  }
  Finish(call, status, cause);
}

void OnlineCalls::Finish(OnlineCall& call, unsigned status,
                         std::string_view outcome) {
  waiting_.Remove(call, MonotonicNow());
  const Duration age = MonotonicNow() - call.request.received_at;
  const bool answered = outcome == "answered";
  if (answered) {
    crashes_.OnAnswered(call.fingerprint);
    crashing_parts_.OnAnswered(call.prompt_parts, MonotonicNow());
  }
  metrics_.Add("knap_requests_total", {call.route.name, std::string(outcome)});
  metrics_.Observe("knap_request_seconds", ToSeconds(age), {call.route.name});
  const auto slots = scheduler_.CountSlots(call.service, MonotonicNow());
  const bool has_first_byte = call.first_byte_at != TimePoint{};
  const Duration first_byte =
      has_first_byte ? call.first_byte_at - call.request.received_at : age;
  Log(answered ? LogLevel::kInfo : LogLevel::kWarning, "request_done",
      {{"request", call.request_id},
       {"route", call.route.name},
       {"workspace", call.workspace.empty() ? "-" : call.workspace},
       {"status", status},
       {"outcome", outcome},
       {"age_ms", ToMillis(age)},
       {"server", call.address.empty() ? "-" : call.address},
       {"software", call.software.empty() ? "-" : call.software},
       {"resumes", call.resumes.empty() ? "-" : call.resumes},
       {"slots", slots.all},
       {"free", slots.free},
       {"online", call.usage_at_send.online},
       {"batch", call.usage_at_send.batch},
       {"displaced", call.preempted_batch},
       {"first_ms", ToMillis(first_byte)},
       {"wait_ms", ToMillis(call.waited)},
       {"wait", call.wait_verdict == admission::WaitVerdict::kWaits
                    ? "-"
                    : NameOf(call.wait_verdict)},
       {"runs", call.runs},
       {"not_run", call.unexecuted_attempts}});
  timeline_.Record(
      {.wall_clock_nanos = WallClockNanos(),
       .duration_nanos = ToNanos(age),
       .name = "request",
       .request = call.request_id,
       .args = {{"route", call.route.name},
                {"outcome", std::string(outcome)},
                {"server", call.address},
                {"first_ms", std::to_string(ToMillis(first_byte))}}});
  const bool frees_slot = static_cast<bool>(call.server);
  const bool had_slot = frees_slot || call.runs > 0;
  EndAttempt(call);
  const std::string service = std::move(call.service);
  calls_.erase(call.caller);
  if (frees_slot) waiting_.OnFreed(service, MonotonicNow());
  if (had_slot && waiting_.HasWaiting(service)) ServeWaiting(service);
}

void OnlineCalls::OnServerRestarted(BackendServerId previous) {
  std::vector<ExchangeId> lost;
  for (const auto& [caller, call] : calls_) {
    if (call.server == previous) lost.push_back(caller);
  }
  for (const ExchangeId caller : lost) {
    OnlineCall& call = calls_.at(caller);
    connections_.Cancel(call.upstream);
    OnAttemptBroken(call, kServerRestarted);
  }
}

void OnlineCalls::EndAll() {
  constexpr std::string_view kCause = "stopping";
  // Ended first, so that no slot that becomes free is given to one of them.
  std::vector<ExchangeId> unsent;
  std::vector<ExchangeId> sent;
  for (const auto& [caller, call] : calls_) {
    (call.server || call.runs > 0 ? sent : unsent).push_back(caller);
  }
  for (const ExchangeId caller : unsent)
    Reject(calls_.at(caller), Duration::zero(), kCause);
  for (const ExchangeId caller : sent) {
    OnlineCall& call = calls_.at(caller);
    connections_.Cancel(call.upstream);
    Fail(call, kGatewayTimeout, kCause);
  }
}

void OnlineCalls::OnCallerDisconnected(ExchangeId caller) {
  const auto found = calls_.find(caller);
  if (found == calls_.end()) return;
  OnlineCall& call = found->second;
  connections_.Cancel(call.upstream);
  // Callers leave a server that stalls before anything else is known of it.
  const bool stalled =
      call.server && call.status == 0 &&
      MonotonicNow() - call.sent_at >=
          call.route.latency_objective * kStalledAfterObjectives;
  if (stalled) ObserveFailure(call, /*by_deadline=*/true);
  Finish(call, 0, "caller_gone");
}

}  // namespace knapweedstile::gateway
