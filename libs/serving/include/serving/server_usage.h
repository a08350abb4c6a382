#ifndef KNAPWEEDSTILE_SERVING_SERVER_USAGE_H_
#define KNAPWEEDSTILE_SERVING_SERVER_USAGE_H_

#include <cstdint>

namespace knapweedstile::serving {

// Outstanding requests of one gateway on one backend server.
struct ServerUsage {
  uint32_t online = 0;
  uint32_t batch = 0;

  uint32_t total() const noexcept { return online + batch; }
  bool operator==(const ServerUsage&) const = default;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_USAGE_H_
