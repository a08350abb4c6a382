#ifndef KNAPWEEDSTILE_SERVING_ROUTE_TABLE_H_
#define KNAPWEEDSTILE_SERVING_ROUTE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "serving/request_limits.h"
#include "serving/route.h"
#include "serving/service.h"

namespace knapweedstile::serving {

// One complete version of the operators' configuration.
struct RouteTable {
  uint64_t version = 0;  // zero: no configuration is known yet
  std::vector<Route> routes;
  std::vector<Service> services;
  RequestLimits limits;

  // Among the routes of `host`, the one with the longest prefix of `target`
  // (path and query); null when none matches.
  const Route* Find(std::string_view host, std::string_view target) const;
  const Route* FindByName(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  // Whether a request of the route is less urgent than requests of other routes
  // to its service. The priority of its workspace, if it has one, overrides the
  // priority of the route.
  bool IsLessUrgent(const Route& route,
                    std::optional<uint32_t> workspace_priority) const;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_ROUTE_TABLE_H_
