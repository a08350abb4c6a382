#ifndef KNAPWEEDSTILE_SERVING_STREAM_ORIGIN_H_
#define KNAPWEEDSTILE_SERVING_STREAM_ORIGIN_H_

#include <cstdint>
#include <string>

namespace knapweedstile::serving {

// The servers that a stream may continue on: those of the service and software
// version that produced its first event.
struct StreamOrigin {
  uint64_t service = 0;  // hash of its name
  std::string software;

  bool operator==(const StreamOrigin&) const = default;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_STREAM_ORIGIN_H_
