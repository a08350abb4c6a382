#ifndef KNAPWEEDSTILE_SERVING_SERVICE_SHARE_H_
#define KNAPWEEDSTILE_SERVING_SERVICE_SHARE_H_

#include <cstdint>
#include <string>

namespace knapweedstile::serving {

// A service that receives a share of a route's traffic.
struct ServiceShare {
  std::string service;
  uint32_t weight = 1;  // relative to the route's other services
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVICE_SHARE_H_
