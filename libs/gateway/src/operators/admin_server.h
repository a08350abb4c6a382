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

// What the gateway answers on the operators' address, and its metrics alone at
// an address that stays.
class AdminServer {
 public:
  struct Callbacks {
    // Whether this gateway takes callers.
    std::function<bool()> ready;
    // Prometheus text; and JSON texts.
    std::function<std::string()> metrics;
    std::function<std::string()> status;
    std::function<std::string()> workspaces;
  };

  AdminServer(boost::asio::io_context& io, const GatewaySettings& settings,
              StoreCalls& store, const observe::Timeline& timeline,
              Callbacks ports);

  Result<bool> Listen();

 private:
  // Callers are served without it as well, so it does not keep the gateway from
  // starting; the operators' address has the same page.
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
