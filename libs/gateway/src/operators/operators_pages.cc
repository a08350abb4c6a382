#include "operators/operators_pages.h"

#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "gateway/gateway_settings.h"
#include "operators/status_page.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr char kJson[] = "application/json";

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

std::string_view PathOf(const http::RequestEvent& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?'));
}

}  // namespace

OperatorsPages::OperatorsPages(boost::asio::io_context& io,
                               const GatewaySettings& settings,
                               StoreCalls& store,
                               const observe::Timeline& timeline, Ports ports)
    : settings_(settings),
      timeline_(timeline),
      ports_(std::move(ports)),
      operators_server_(io, {},
                        [this](http::ServerEvent&& event) {
                          return OnOperatorsEvent(std::move(event));
                        }),
      metrics_server_(io, {},
                      [this](http::ServerEvent&& event) {
                        const auto* request =
                            std::get_if<http::RequestEvent>(&event);
                        if (request)
                          metrics_server_.Execute(MetricsPage(*request));
                        return true;
                      }),
      operators_(store, [this](http::ServerCommand&& command) {
        operators_server_.Execute(std::move(command));
      }) {}

Result<bool> OperatorsPages::Listen() {
  BOOST_LEAF_CHECK(operators_server_.Listen(settings_.readiness_address));
  ListenForMetrics();
  return true;
}

void OperatorsPages::ListenForMetrics() {
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

bool OperatorsPages::OnOperatorsEvent(http::ServerEvent&& event) {
  const auto* request = std::get_if<http::RequestEvent>(&event);
  if (!request) return true;
  if (OperatorsApi::IsObjectTarget(request->target)) {
    operators_.OnRequest(*request);
    return true;
  }
  operators_server_.Execute(Page(*request));
  return true;
}

http::RespondCommand OperatorsPages::Page(const http::RequestEvent& request) {
  http::RespondCommand answer{.exchange = request.exchange, .status = 200};
  const std::string_view path = PathOf(request);
  const auto json = [&](std::string body) {
    answer.headers.Add("Content-Type", kJson);
    answer.body = std::move(body);
  };
  if (users_platform::IsReadinessProbe(request.method, path) ||
      path == "/readyz") {
    answer.status = ports_.ready() ? 200 : 503;
  } else if (path == "/healthz") {
    answer.body = "ok";
  } else if (path == kMetricsPath) {
    return MetricsPage(request);
  } else if (path == "/status") {
    json(ports_.status());
  } else if (path == "/workspaces") {
    json(ports_.workspaces());
  } else if (path == "/timeline") {
    json(RenderTimeline(settings_.name, timeline_, AfterOf(request.target)));
  } else {
    answer.status = 404;
  }
  return answer;
}

http::RespondCommand OperatorsPages::MetricsPage(
    const http::RequestEvent& request) {
  http::RespondCommand answer{.exchange = request.exchange, .status = 200};
  if (PathOf(request) != kMetricsPath) {
    answer.status = 404;
    return answer;
  }
  answer.headers.Add("Content-Type", "text/plain; version=0.0.4");
  answer.body = ports_.metrics();
  return answer;
}

}  // namespace knapweedstile::gateway
