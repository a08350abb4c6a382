#ifndef KNAPWEEDSTILE_SERVING_CRASH_COUNT_H_
#define KNAPWEEDSTILE_SERVING_CRASH_COUNT_H_

#include <cstdint>

namespace knapweedstile::serving {

// Number of attempts of a request on one gateway that ended without a response.
struct CrashCount {
  uint64_t fingerprint = 0;  // of host, target and body
  uint32_t breaks = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CRASH_COUNT_H_
