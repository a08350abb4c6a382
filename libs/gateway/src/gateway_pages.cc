#include <charconv>
#include <utility>

#include "base/clock.h"
#include "gateway.h"
#include "gateway_metrics.h"
#include "operators/status_page.h"
#include "operators/workspaces_page.h"
#include "users_platform/request_headers.h"

// What the gateway answers on the operators' address.
namespace knapweedstile::gateway {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";

// The number in `?after=N`; zero without one.
uint64_t AfterOf(std::string_view target) {
  constexpr std::string_view kAfter = "?after=";
  const size_t at = target.find(kAfter);
  uint64_t after = 0;
  if (at == std::string_view::npos) return after;
  target.remove_prefix(at + kAfter.size());
  std::from_chars(target.data(), target.data() + target.size(), after);
  return after;
}

}  // namespace

void DeclareMetrics(observe::Metrics& metrics) {
  metrics.DeclareCounter("knap_requests_total",
                         "online requests by route and outcome",
                         {"route", "outcome"});
  metrics.DeclareCounter("knap_turned_away_total",
                         "requests that went nowhere, by cause", {"cause"});
  metrics.DeclareCounter("knap_workspace_refused_total",
                         "requests beyond their workspace's rate, by verdict",
                         {"workspace", "verdict"});
  metrics.DeclareHistogram("knap_request_seconds",
                           "from arrival to the last answer byte", {"route"});
  metrics.DeclareHistogram("knap_first_event_seconds",
                           "from arrival to a stream's first event",
                           {"route", "policy"});
  metrics.DeclareCounter("knap_jobs_total", "submissions by outcome",
                         {"outcome"});
  metrics.DeclareCounter("knap_items_total",
                         "finished items by state and sharing policy",
                         {"state", "policy"});
  metrics.DeclareCounter("knap_items_requeued_total",
                         "runs that ended without a result, by reason",
                         {"reason"});
  metrics.DeclareGauge("knap_configuration_version", "version in force");
  metrics.DeclareGauge("knap_servers", "backend servers known");
  metrics.DeclareGauge("knap_store_available", "1 while the store answers");
  metrics.DeclareGauge("knap_store_calls", "calls to the store so far");
  metrics.DeclareGauge("knap_store_reader",
                       "1 while this entry follows the store for its cell");
  metrics.DeclareGauge("knap_cell_entries",
                       "entries that tell each other changes at once");
  metrics.DeclareGauge("knap_online_open", "online requests in progress");
  metrics.DeclareGauge("knap_items_running", "batch items in progress");
  metrics.DeclareGauge("knap_entries_heard", "other entries heard of lately");
}

bool Gateway::OnReadinessEvent(http::ServerEvent&& event) {
  const auto* request = std::get_if<http::RequestEvent>(&event);
  if (!request) return true;
  if (OperatorsApi::IsObjectTarget(request->target)) {
    operators_.OnRequest(*request);
    return true;
  }
  readiness_.Execute(OperatorsPage(*request));
  return true;
}

http::RespondCommand Gateway::OperatorsPage(const http::RequestEvent& request) {
  http::RespondCommand answer{.exchange = request.exchange, .status = 200};
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  if (users_platform::IsReadinessProbe(request.method, path) ||
      path == "/readyz") {
    answer.status = ready() ? 200 : 503;
  } else if (path == "/healthz") {
    answer.body = "ok";
  } else if (path == kMetricsPath) {
    return MetricsPage(request);
  } else if (path == "/status") {
    answer.headers.Add("Content-Type", "application/json");
    answer.body = RenderStatus(settings_, stop_began_at_ != kNever,
                               routes_.version, board_, policies_);
  } else if (path == "/workspaces") {
    answer.headers.Add("Content-Type", "application/json");
    answer.body = RenderWorkspaces(settings_.name, routes_.version, workspaces_,
                                   rate_, MonotonicNow());
  } else if (path == "/timeline") {
    answer.headers.Add("Content-Type", "application/json");
    answer.body = RenderTimeline(settings_.name, timeline_, AfterOf(target));
  } else {
    answer.status = 404;
  }
  return answer;
}

http::RespondCommand Gateway::MetricsPage(const http::RequestEvent& request) {
  http::RespondCommand answer{.exchange = request.exchange, .status = 200};
  const std::string_view target = request.target;
  if (target.substr(0, target.find('?')) != kMetricsPath) {
    answer.status = 404;
    return answer;
  }
  answer.headers.Add("Content-Type", "text/plain; version=0.0.4");
  answer.body = RenderMetrics();
  return answer;
}

bool Gateway::ready() const {
  return routes_.version != 0 && server_mirror_.listed() &&
         stop_began_at_ == kNever;
}

std::string Gateway::RenderMetrics() {
  metrics_.Set("knap_configuration_version",
               static_cast<double>(routes_.version));
  metrics_.Set("knap_servers", static_cast<double>(board_.server_count()));
  metrics_.Set("knap_store_available", store_.available() ? 1 : 0);
  metrics_.Set("knap_store_calls", static_cast<double>(store_.calls()));
  metrics_.Set("knap_store_reader", IsReader() ? 1 : 0);
  metrics_.Set("knap_cell_entries", static_cast<double>(entries_in_cell_));
  metrics_.Set("knap_online_open", static_cast<double>(online_.open()));
  metrics_.Set("knap_items_running", static_cast<double>(runner_.running()));
  metrics_.Set("knap_entries_heard",
               static_cast<double>(peers_.WorkingEntries().size()));
  return metrics_.Render();
}

}  // namespace knapweedstile::gateway
