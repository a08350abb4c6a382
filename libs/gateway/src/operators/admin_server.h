#ifndef KNAPWEEDSTILE_GATEWAY_ADMIN_SERVER_H_
#define KNAPWEEDSTILE_GATEWAY_ADMIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "http/server.h"
#include "operators/objects_api.h"

namespace knapweedstile::observe {
class Timeline;
}

namespace knapweedstile::gateway {

struct GatewaySettings;
struct ResourceLimits;

// HTTP server for operators: readiness, metrics, JSON pages and the API for
// objects. Metrics are also served alone at a second, fixed address.
class AdminServer {
 public:
  struct Callbacks {
    // Whether this gateway accepts requests from callers.
    std::function<bool()> ready;
    std::function<std::string()> metrics;  // Prometheus text format
    // JSON documents.
    std::function<std::string()> status;
    std::function<std::string()> workspaces;
  };

  AdminServer(boost::asio::io_context& io, const GatewaySettings& settings,
              const ResourceLimits& limits, StoreCalls& store,
              const observe::Timeline& timeline, Callbacks callbacks);

  Result<bool> Listen();

 private:
  // A failure to listen is only logged: callers are served without this
  // address, and the operators' address serves the same page.
  void ListenForMetrics();
  bool OnAdminEvent(http::ServerEvent&& event);
  http::RespondCommand BuildPage(const http::RequestEvent& request);
  http::RespondCommand BuildMetricsPage(const http::RequestEvent& request);

  const GatewaySettings& settings_;
  const observe::Timeline& timeline_;
  Callbacks callbacks_;
  http::Server http_server_;
  http::Server metrics_server_;
  ObjectsApi objects_api_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ADMIN_SERVER_H_
