#include "callers/request_admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/native_batch_api.h"

namespace knapweedstile::gateway {
namespace {

using serving::Route;
using serving::RouteKind;
using workspaces::RateDecision;
using workspaces::RateVerdict;

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

// A read of the configuration takes some milliseconds while the store answers.
constexpr std::chrono::milliseconds kDoubtRetry{500};

}  // namespace

RequestAdmission::RequestAdmission(
    const serving::RouteTable& routes,
    const workspaces::WorkspaceDirectory& workspaces,
    workspaces::RateQuota& rate, observe::Metrics& metrics,
    std::string id_prefix, Duration trust_for, Callbacks ports)
    : routes_(routes),
      workspaces_(workspaces),
      rate_(rate),
      metrics_(metrics),
      id_prefix_(std::move(id_prefix)),
      trust_for_(trust_for),
      callbacks_(std::move(ports)) {}

void RequestAdmission::OnRequest(http::RequestEvent&& request) {
  const CallerIdentity identity =
      ReadCaller(request.headers, workspaces_,
                 fmt::format("{}-{}", id_prefix_, ++generated_ids_));
  if (NativeBatchApi::IsTarget(request.target)) {
    const Route* route = NativeBatchApi::FindRoute(routes_, identity.host);
    if (!Authorize(request, identity, route && route->is_public)) return;
    return callbacks_.own_batches(std::move(request), identity);
  }
  const auto call = users_platform::DecodeBatchCall(
      request.method, request.target, request.headers);
  if (call.operation != users_platform::BatchOperation::kNone) {
    if (!Authorize(request, identity, HasPublicBatchRoute(identity.host)))
      return;
    return callbacks_.call_job(std::move(request), call, identity);
  }
  const Route* route = routes_.Find(identity.host, request.target);
  if (!route) return RejectUnknownRoute(request, identity);
  if (!Authorize(request, identity, route->is_public)) return;
  if (route->kind == RouteKind::kBatch) {
    return callbacks_.submit_job(std::move(request), *route, identity);
  }
  if (!CheckModel(request, identity)) return;
  if (!CheckRate(request, identity)) return;
  callbacks_.online(std::move(request), *route, identity,
                    routes_.IsLessUrgent(*route, identity.priority));
}

void RequestAdmission::OnForwarded(http::RequestEvent&& request,
                                   const CallerIdentity& identity) {
  if (NativeBatchApi::IsTarget(request.target)) {
    return callbacks_.own_batches(std::move(request), identity);
  }
  const auto call = users_platform::DecodeBatchCall(
      request.method, request.target, request.headers);
  if (call.operation != users_platform::BatchOperation::kNone) {
    return callbacks_.call_job(std::move(request), call, identity);
  }
  const Route* route = routes_.Find(identity.host, request.target);
  const bool batch = route && route->kind == RouteKind::kBatch;
  // The gateway that passed it on knows the route: this one is behind.
  if (!batch) return RejectTemporarily(request, identity, "no_route");
  callbacks_.submit_job(std::move(request), *route, identity);
}

bool RequestAdmission::HasPublicBatchRoute(std::string_view host) const {
  return std::any_of(routes_.routes.begin(), routes_.routes.end(),
                     [host](const Route& route) {
                       return route.host == host && route.is_public &&
                              route.kind == RouteKind::kBatch;
                     });
}

void RequestAdmission::Reject(const http::RequestEvent& request,
                              const CallerIdentity& identity,
                              const ErrorResponse& error,
                              std::string_view cause) {
  LogInfo("turned_away",
          {{"request", identity.request_id},
           {"workspace", identity.workspace.empty() ? "-" : identity.workspace},
           {"host", identity.host},
           {"target", request.target},
           {"status", error.status},
           {"cause", cause},
           {"configuration", routes_.version},
           {"configuration_age_ms", ToMillis(callbacks_.configuration_age())}});
  metrics_.Add("knap_turned_away_total", {std::string(cause)});
  ErrorResponse answer = error;
  answer.request_id = identity.request_id;
  answer.execution = ExecutionStatus::kNotExecuted;
  callbacks_.to_caller(ToCommand(request.exchange, answer));
}

void RequestAdmission::RejectTemporarily(const http::RequestEvent& request,
                                         const CallerIdentity& identity,
                                         std::string_view cause) {
  callbacks_.reload_configuration();
  Reject(request, identity,
         {.status = kUnavailable,
          .code = "configuration_in_doubt",
          .message = "what is known here may be old; come back",
          .retry_after = kDoubtRetry},
         cause);
}

void RequestAdmission::RejectUnknownRoute(const http::RequestEvent& request,
                                          const CallerIdentity& identity) {
  const bool sure = routes_.version != 0 &&
                    callbacks_.configuration_age() == Duration::zero();
  if (!sure) return RejectTemporarily(request, identity, "no_route");
  Reject(request, identity,
         {.status = kNotFound,
          .code = "no_route",
          .message = "no route leads there"},
         "no_route");
}

// Failure guarded against: a gateway that has no configuration, or an old one,
// denies a key that holds; the caller takes that for final and does not come
// again.
bool RequestAdmission::Authorize(const http::RequestEvent& request,
                                 const CallerIdentity& identity,
                                 bool is_public) {
  if (is_public) return true;
  const Duration age = callbacks_.configuration_age();
  if (identity.access == CallerAccess::kGranted) {
    const bool trusted = trust_for_ == Duration::zero() || age <= trust_for_ ||
                         identity.workspace.empty();
    if (!trusted) RejectTemporarily(request, identity, "configuration_too_old");
    return trusted;
  }
  const bool final =
      identity.access == CallerAccess::kMalformedKey || age == Duration::zero();
  if (routes_.version == 0 || !final) {
    RejectTemporarily(request, identity, NameOf(identity.access));
    return false;
  }
  Reject(request, identity,
         {.status = kUnauthorized,
          .code = "invalid_api_key",
          .message = "a key of a workspace is needed here"},
         NameOf(identity.access));
  return false;
}

bool RequestAdmission::CheckModel(const http::RequestEvent& request,
                                  const CallerIdentity& identity) {
  if (IsModelAllowed(request.body, identity, workspaces_)) return true;
  Reject(request, identity,
         {.status = kForbidden,
          .code = "model_not_allowed",
          .message = "this workspace may not ask for this model"},
         "model");
  return false;
}

bool RequestAdmission::CheckRate(const http::RequestEvent& request,
                                 const CallerIdentity& identity) {
  const workspaces::Workspace* workspace = workspaces_.Find(identity.workspace);
  if (!workspace || !workspace->rate.limited()) return true;
  const RateDecision answer =
      rate_.Admit(Hash64(workspace->name), workspace->rate, MonotonicNow());
  if (answer.verdict == RateVerdict::kAdmitted) return true;
  LogInfo("over_rate",
          {{"request", identity.request_id},
           {"workspace", workspace->name},
           {"verdict", NameOf(answer.verdict)},
           {"limit", std::llround(answer.limit)},
           {"known", std::llround(answer.total_admitted)},
           {"own", answer.own_admitted},
           {"silent_entries", answer.unreachable_gateways},
           {"oldest_report_ms", ToMillis(answer.oldest_report_age)},
           {"retry_after_ms", ToMillis(answer.retry_after)}});
  metrics_.Add("knap_workspace_refused_total",
               {workspace->name, std::string(NameOf(answer.verdict))});
  ErrorResponse error{.status = kTooManyRequests,
                      .code = "rate_limit_exceeded",
                      .message = "the workspace has sent more than its rate",
                      .request_id = identity.request_id,
                      .execution = ExecutionStatus::kNotExecuted,
                      .retry_after = answer.retry_after};
  callbacks_.to_caller(ToCommand(request.exchange, error));
  return false;
}

}  // namespace knapweedstile::gateway
