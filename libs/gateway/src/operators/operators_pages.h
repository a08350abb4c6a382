#ifndef KNAPWEEDSTILE_GATEWAY_OPERATORS_PAGES_H_
#define KNAPWEEDSTILE_GATEWAY_OPERATORS_PAGES_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "http/server.h"
#include "operators/operators_api.h"

namespace knapweedstile::observe {
class Timeline;
}

namespace knapweedstile::gateway {

struct GatewaySettings;

// What the gateway answers on the operators' address, and its metrics alone at
// an address that stays.
class OperatorsPages {
 public:
  struct Ports {
    // Whether this gateway takes callers.
    std::function<bool()> ready;
    // Prometheus text; and JSON texts.
    std::function<std::string()> metrics;
    std::function<std::string()> status;
    std::function<std::string()> workspaces;
  };

  OperatorsPages(boost::asio::io_context& io, const GatewaySettings& settings,
                 StoreCalls& store, const observe::Timeline& timeline,
                 Ports ports);

  Result<bool> Listen();

 private:
  // Callers are served without it as well, so it does not keep the gateway from
  // starting; the operators' address has the same page.
  void ListenForMetrics();
  bool OnOperatorsEvent(http::ServerEvent&& event);
  http::RespondCommand Page(const http::RequestEvent& request);
  http::RespondCommand MetricsPage(const http::RequestEvent& request);

  const GatewaySettings& settings_;
  const observe::Timeline& timeline_;
  Ports ports_;
  http::Server operators_server_;
  http::Server metrics_server_;
  OperatorsApi operators_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_OPERATORS_PAGES_H_
