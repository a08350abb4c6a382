#include "operators/admin_server.h"

#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "gateway/gateway_settings.h"
#include "operators/status_page.h"
#include "resource_limits.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr char kJson[] = "application/json";

// Objects that operators write are at most as large as a value of the store;
// other requests have no body.
constexpr uint64_t kMaxObjectBytes = 1 << 20;
constexpr uint64_t kMaxMetricsBodyBytes = 4 << 10;

http::ServerSettings OperatorServerSettings(const ResourceLimits& limits) {
  http::ServerSettings settings;
  settings.max_connections = limits.operator_connections;
  settings.max_held_bytes = limits.operator_bytes;
  settings.max_body_bytes = kMaxObjectBytes;
  return settings;
}

http::ServerSettings MetricsServerSettings(const ResourceLimits& limits) {
  http::ServerSettings settings;
  settings.max_connections = limits.metrics_connections;
  settings.max_held_bytes = limits.metrics_bytes;
  settings.max_body_bytes = kMaxMetricsBodyBytes;
  return settings;
}

// The number in `?after=N`; zero if absent.
uint64_t AfterOf(std::string_view target) {
  constexpr std::string_view kAfter = "?after=";
  const size_t at = target.find(kAfter);
  uint64_t after = 0;
  if (at == std::string_view::npos) return after;
  target.remove_prefix(at + kAfter.size());
  std::from_chars(target.data(), target.data() + target.size(), after);
  return after;
}

std::string_view PathOf(const http::RequestEvent& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

}  // namespace

AdminServer::AdminServer(boost::asio::io_context& io,
                         const GatewaySettings& settings,
                         const ResourceLimits& limits, StoreCalls& store,
                         const observe::Timeline& timeline, Callbacks callbacks)
    : settings_(settings),
      timeline_(timeline),
      callbacks_(std::move(callbacks)),
      http_server_(io, OperatorServerSettings(limits),
                   [this](http::ServerEvent&& event) {
                     return OnAdminEvent(std::move(event));
                   }),
      metrics_server_(io, MetricsServerSettings(limits),
                      [this](http::ServerEvent&& event) {
                        const auto* request =
                            std::get_if<http::RequestEvent>(&event);
                        if (request)
                          metrics_server_.Execute(BuildMetricsPage(*request));
                        return true;
                      }),
      objects_api_(store, [this](http::ServerCommand&& command) {
        http_server_.Execute(std::move(command));
      }) {}

Result<bool> AdminServer::Listen() {
  BOOST_LEAF_CHECK(http_server_.Listen(settings_.readiness_address));
  ListenForMetrics();
  return true;
}

void AdminServer::ListenForMetrics() {
  if (settings_.metrics_address.empty()) return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(metrics_server_.Listen(settings_.metrics_address));
        return {};
      },
      [&](const Error& error) {
        LogWarning("metrics_address_refused",
                   {{"address", settings_.metrics_address},
                    {"reason", error.message}});
      },
      [] {});
}

bool AdminServer::OnAdminEvent(http::ServerEvent&& event) {
  const auto* request = std::get_if<http::RequestEvent>(&event);
  if (!request) return true;
  if (ObjectsApi::IsObjectTarget(request->target)) {
    objects_api_.OnRequest(*request);
    return true;
  }
  http_server_.Execute(BuildPage(*request));
  return true;
}

http::RespondCommand AdminServer::BuildPage(const http::RequestEvent& request) {
  http::RespondCommand response{.exchange = request.exchange, .status = 200};
  const std::string_view path = PathOf(request);
  const auto json = [&](std::string body) {
    response.headers.Add("Content-Type", kJson);
    response.body = std::move(body);
  };
  if (users_platform::IsReadinessProbe(request.method, path) ||
      path == "/readyz") {
    response.status = callbacks_.ready() ? 200 : 503;
  } else if (path == "/healthz") {
    response.body = "ok";
  } else if (path == kMetricsPath) {
    return BuildMetricsPage(request);
  } else if (path == "/status") {
    json(callbacks_.status());
  } else if (path == "/workspaces") {
    json(callbacks_.workspaces());
  } else if (path == "/timeline") {
    json(RenderTimeline(settings_.name, timeline_, AfterOf(request.target)));
  } else {
    response.status = 404;
  }
  return response;
}

http::RespondCommand AdminServer::BuildMetricsPage(
    const http::RequestEvent& request) {
  http::RespondCommand response{.exchange = request.exchange, .status = 200};
  if (PathOf(request) != kMetricsPath) {
    response.status = 404;
    return response;
  }
  response.headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.body = callbacks_.metrics();
  return response;
}

}  // namespace knapweedstile::gateway
