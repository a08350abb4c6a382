#ifndef KNAPWEEDSTILE_SERVING_SERVICE_H_
#define KNAPWEEDSTILE_SERVING_SERVICE_H_

#include <cstdint>
#include <string>

namespace knapweedstile::serving {

// A pool of backend servers that run the same requests.
struct Service {
  std::string name;
  uint32_t max_connections = 0;  // per backend server, from all callers
  bool model_engine = false;     // generates tokens in continuous batches
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVICE_H_
