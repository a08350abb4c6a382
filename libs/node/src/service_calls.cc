#include "service_calls.h"

#include <utility>
#include <variant>

#include "base/hash.h"
#include "entry_ports.h"
#include "error_response.h"
#include "http/server_command.h"
#include "objects/service.h"
#include "observe/metrics.h"
#include "outcome_errors.h"
#include "passed_headers.h"
#include "request_runner.h"
#include "traffic_route.h"

namespace knapweedstile::node {

namespace {

constexpr unsigned kConflict = 409;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kUnavailable = 503;
constexpr uint64_t kRetryAfterMillis = 2000;

PreparedRequest Prepare(RequestId id, const http::RequestEvent& request,
                        const objects::Service& service, bool idempotent,
                        const CallerIdentity& identity,
                        const TrafficRoute& route) {
  PreparedRequest prepared;
  prepared.info.id = id;
  prepared.info.workspace = identity.workspace;
  prepared.info.caller = identity.caller;
  prepared.info.target = route.pool;
  prepared.info.workspace_weight = route.workspace_weight;
  prepared.info.deadline = request.received_at + service.timeout;
  prepared.info.fingerprint = HashCombine(
      Hash64(request.method + ' ' + request.target), Hash64(request.body));
  prepared.info.idempotent = idempotent;
  pb::RunRequest& message = prepared.message;
  message.set_request_id(identity.request_id);
  message.set_workspace(identity.workspace);
  message.set_caller(identity.caller);
  message.set_target(route.target);
  message.set_method(request.method);
  message.set_path(request.target);
  message.set_body(request.body);
  message.set_fingerprint(prepared.info.fingerprint);
  message.set_idempotent(idempotent);
  message.set_plain_service(true);
  for (const auto& [name, value] : request.headers.fields()) {
    if (!IsPassedOn(name)) continue;
    pb::Header& header = *message.add_headers();
    header.set_name(name);
    header.set_value(value);
  }
  return prepared;
}

// The answer to a sending that its claim does not let run.
ApiError ErrorOfVerdict(jobs::ClaimVerdict verdict) {
  const std::string code(NameOf(verdict));
  switch (verdict) {
    case jobs::ClaimVerdict::kAnswerNotKept:
      return {
          kConflict,   "invalid_request_error",
          code,        "the call ran before; its answer was too large to keep",
          "",          RunTruth::kUnsaid,
          std::nullopt};
    case jobs::ClaimVerdict::kOutcomeUnknown:
      return {kConflict,
              "server_error",
              code,
              "the call was sent before under this key; its outcome is not "
              "known",
              "",
              RunTruth::kUnknown,
              kRetryAfterMillis};
    case jobs::ClaimVerdict::kKeyReused:
      return {kUnprocessable,
              "invalid_request_error",
              code,
              "this key belongs to another call",
              "Idempotency-Key",
              RunTruth::kNotRun,
              std::nullopt};
    case jobs::ClaimVerdict::kNotRun:
    case jobs::ClaimVerdict::kDispatch:
    case jobs::ClaimVerdict::kReplay:
      break;
  }
  return {kUnavailable,
          "overloaded_error",
          code,
          "the claim of this call could not be made in time",
          "",
          RunTruth::kNotRun,
          kRetryAfterMillis};
}

}  // namespace

ServiceCalls::ServiceCalls(EntryPorts& ports, observe::Metrics& metrics,
                           RequestRunner& runner, PlatformCalls& platform,
                           uint64_t seed, OnUnsubmitted on_unsubmitted)
    : ports_(ports),
      metrics_(metrics),
      runner_(runner),
      on_unsubmitted_(std::move(on_unsubmitted)),
      writer_prefix_(HexOf(seed) + "-"),
      claims_(
          platform, seed,
          [this](TimePoint now, RequestId id, jobs::ClaimVerdict verdict,
                 const jobs::ClaimAnswer& replay, PreparedRequest&& prepared) {
            OnVerdict(now, id, verdict, replay, std::move(prepared));
          }) {
  metrics_.DeclareCounter("knap_service_calls_total",
                          "Calls of plain services and how they ended.",
                          {"service", "end"});
}

void ServiceCalls::Begin(TimePoint now, RequestId id,
                         const http::RequestEvent& request,
                         const objects::Service& service,
                         const CallerIdentity& identity,
                         const TrafficRoute& route) {
  calls_.emplace(
      id, ServiceCall{request.exchange, identity, service.name, std::string()});
  const bool idempotent =
      objects::IsIdempotent(service, request.method, request.target);
  PreparedRequest prepared =
      Prepare(id, request, service, idempotent, identity, route);
  const std::string key(request.headers.Find("Idempotency-Key"));
  if (idempotent || key.empty()) {
    runner_.Submit(now, std::move(prepared.info), std::move(prepared.message));
  } else {
    claims_.Begin(now, std::move(prepared), key,
                  writer_prefix_ + std::to_string(id.value()));
  }
}

void ServiceCalls::OnVerdict(TimePoint now, RequestId id,
                             jobs::ClaimVerdict verdict,
                             const jobs::ClaimAnswer& replay,
                             PreparedRequest&& prepared) {
  const auto found = calls_.find(id);
  if (verdict == jobs::ClaimVerdict::kDispatch) {
    if (found == calls_.end() || !found->second.exchange) {
      // The caller went away before anything was sent.
      calls_.erase(id);
      on_unsubmitted_(id);
      claims_.OnNotRun(now, id);
      return;
    }
    runner_.Submit(now, std::move(prepared.info), std::move(prepared.message));
    return;
  }
  if (found == calls_.end()) return;
  ServiceCall& call = found->second;
  if (verdict == jobs::ClaimVerdict::kReplay) {
    metrics_.Add("knap_service_calls_total", {call.service, "replayed"});
    Replay(call, replay);
  } else {
    RespondError(call, ErrorOfVerdict(verdict));
  }
  calls_.erase(found);
  on_unsubmitted_(id);
}

bool ServiceCalls::Forget(RequestId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  if (claims_.Holds(id)) {
    found->second.exchange = {};
    return false;
  }
  calls_.erase(found);
  return true;
}

bool ServiceCalls::OnEvent(TimePoint now, const RequestEvent& event) {
  const RequestId id =
      std::visit([](const auto& typed) { return typed.request; }, event);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  ServiceCall& call = found->second;
  if (const auto* output = std::get_if<RequestOutputEvent>(&event)) {
    call.body += output->data;
    return true;
  }
  if (const auto* finished = std::get_if<RequestFinishedEvent>(&event)) {
    OnFinished(now, id, call, finished->finished);
  } else if (const auto* refused = std::get_if<RequestRefusedEvent>(&event)) {
    claims_.OnNotRun(now, id);
    RespondError(call, ErrorOfRefusal(refused->refusal, now));
  } else if (const auto* failed = std::get_if<RequestFailedEvent>(&event)) {
    claims_.OnOutcomeUnknown(now, id);
    RespondError(call, ErrorOfFailure(failed->outcome, failed->message));
  }
  calls_.erase(found);
  return true;
}

void ServiceCalls::OnFinished(TimePoint now, RequestId id, ServiceCall& call,
                              const pb::Finished& finished) {
  metrics_.Add("knap_service_calls_total", {call.service, "done"});
  jobs::ClaimAnswer answer;
  answer.status = finished.status();
  for (const pb::Header& header : finished.headers()) {
    if (IsPassedOn(header.name())) {
      answer.headers.emplace_back(header.name(), header.value());
    }
  }
  answer.body = std::move(call.body);
  Replay(call, answer);
  claims_.OnAnswered(now, id, std::move(answer));
}

void ServiceCalls::Replay(const ServiceCall& call,
                          const jobs::ClaimAnswer& answer) {
  if (!call.exchange) return;
  http::RespondCommand command{call.exchange, answer.status, {}, answer.body};
  for (const auto& [name, value] : answer.headers) {
    command.headers.Add(name, value);
  }
  command.headers.Add("X-Request-Id", call.identity.request_id);
  ports_.callers(std::move(command));
}

void ServiceCalls::RespondError(const ServiceCall& call,
                                const ApiError& error) {
  metrics_.Add("knap_service_calls_total", {call.service, error.code});
  if (!call.exchange) return;
  ports_.callers(ErrorResponse(call.exchange, call.identity, error));
}

}  // namespace knapweedstile::node
