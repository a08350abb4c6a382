#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_COUNT_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_COUNT_H_

#include <cstdint>

namespace knapweedstile::gateway {

// Records that an entry has written to the store since it started.
struct RecordCount {
  uint64_t start = 0;  // of its process
  uint64_t count = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_COUNT_H_
