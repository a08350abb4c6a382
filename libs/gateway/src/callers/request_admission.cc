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

// Reading the configuration takes some milliseconds while the store responds.
constexpr std::chrono::milliseconds kRetryAfterReload{500};

}  // namespace

RequestAdmission::RequestAdmission(
    const serving::RouteTable& routes,
    const workspaces::WorkspaceDirectory& workspaces,
    workspaces::RateQuota& rate, observe::Metrics& metrics,
    std::string id_prefix, Duration trust_for, Callbacks callbacks)
    : routes_(routes),
      workspaces_(workspaces),
      rate_(rate),
      metrics_(metrics),
      id_prefix_(std::move(id_prefix)),
      trust_for_(trust_for),
      callbacks_(std::move(callbacks)) {}

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
  // The forwarding gateway has the route: this one has an older configuration.
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
  ErrorResponse response = error;
  response.request_id = identity.request_id;
  response.execution = ExecutionStatus::kNotExecuted;
  callbacks_.to_caller(ToCommand(request.exchange, response));
}

void RequestAdmission::RejectTemporarily(const http::RequestEvent& request,
                                         const CallerIdentity& identity,
                                         std::string_view cause) {
  callbacks_.reload_configuration();
  Reject(request, identity,
         {.status = kUnavailable,
          .code = "configuration_in_doubt",
          .message = "the configuration of this gateway may be outdated; retry",
          .retry_after = kRetryAfterReload},
         cause);
}

void RequestAdmission::RejectUnknownRoute(const http::RequestEvent& request,
                                          const CallerIdentity& identity) {
  const bool up_to_date = routes_.version != 0 &&
                          callbacks_.configuration_age() == Duration::zero();
  if (!up_to_date) return RejectTemporarily(request, identity, "no_route");
  Reject(request, identity,
         {.status = kNotFound,
          .code = "no_route",
          .message = "no route matches this host and path"},
         "no_route");
}

// Guards against rejecting a valid key for good: a gateway with no
// configuration or an outdated one lacks the key, and a caller does not retry
// after a 401.
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
          .message = "a valid API key of a workspace is required"},
         NameOf(identity.access));
  return false;
}

bool RequestAdmission::CheckModel(const http::RequestEvent& request,
                                  const CallerIdentity& identity) {
  if (IsModelAllowed(request.body, identity, workspaces_)) return true;
  Reject(request, identity,
         {.status = kForbidden,
          .code = "model_not_allowed",
          .message = "this workspace is not allowed to use this model"},
         "model");
  return false;
}

bool RequestAdmission::CheckRate(const http::RequestEvent& request,
                                 const CallerIdentity& identity) {
  const workspaces::Workspace* workspace = workspaces_.Find(identity.workspace);
  if (!workspace || !workspace->rate.limited()) return true;
  const RateDecision decision =
      rate_.Admit(Hash64(workspace->name), workspace->rate, MonotonicNow());
  if (decision.verdict == RateVerdict::kAdmitted) return true;
  LogInfo("over_rate",
          {{"request", identity.request_id},
           {"workspace", workspace->name},
           {"verdict", NameOf(decision.verdict)},
           {"limit", std::llround(decision.limit)},
           {"known", std::llround(decision.total_admitted)},
           {"own", decision.own_admitted},
           {"silent_entries", decision.unreachable_gateways},
           {"oldest_report_ms", ToMillis(decision.oldest_report_age)},
           {"retry_after_ms", ToMillis(decision.retry_after)}});
  metrics_.Add("knap_workspace_refused_total",
               {workspace->name, std::string(NameOf(decision.verdict))});
  ErrorResponse error{.status = kTooManyRequests,
                      .code = "rate_limit_exceeded",
                      .message = "the workspace has exceeded its rate limit",
                      .request_id = identity.request_id,
                      .execution = ExecutionStatus::kNotExecuted,
                      .retry_after = decision.retry_after};
  callbacks_.to_caller(ToCommand(request.exchange, error));
  return false;
}

}  // namespace knapweedstile::gateway
