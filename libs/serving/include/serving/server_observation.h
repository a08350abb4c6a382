#ifndef KNAPWEEDSTILE_SERVING_SERVER_OBSERVATION_H_
#define KNAPWEEDSTILE_SERVING_SERVER_OBSERVATION_H_

#include <cstdint>

#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

// What one gateway has observed of a backend server's process, for its peers.
struct ServerObservation {
  ServerProcessId process;
  // Time per step relative to the median of the service; zero: unknown.
  double slowness = 0;
  // Recent attempts, and those of them that failed.
  uint32_t attempts = 0;
  uint32_t failures = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_OBSERVATION_H_
