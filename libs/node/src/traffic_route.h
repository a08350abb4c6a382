#ifndef KNAPWEEDSTILE_NODE_TRAFFIC_ROUTE_H_
#define KNAPWEEDSTILE_NODE_TRAFFIC_ROUTE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::node {

// The policy's name of traffic that no policy binds.
inline constexpr std::string_view kNoTrafficPolicy = "default";

// Where a request goes: the policy that took it, and the pool of backend
// servers that this policy picks for the request's model or service.
struct TrafficRoute {
  std::string target;  // model or service
  std::string policy;
  std::string pool;  // the scheduler's name for (target, policy)
  uint32_t workspace_weight = 1;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_TRAFFIC_ROUTE_H_
