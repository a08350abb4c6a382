#ifndef KNAPWEEDSTILE_SERVING_REQUEST_LIMITS_H_
#define KNAPWEEDSTILE_SERVING_REQUEST_LIMITS_H_

#include <chrono>
#include <cstdint>

namespace knapweedstile::serving {

// Size and time limits for requests of callers, set by the operators.
struct RequestLimits {
  uint32_t max_header_bytes = 16 << 10;
  uint64_t max_body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_REQUEST_LIMITS_H_
