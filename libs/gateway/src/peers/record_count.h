#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_COUNT_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_COUNT_H_

#include <cstdint>

namespace knapweedstile::gateway {

// Number of records that a gateway process has written to the store.
struct RecordCount {
  uint64_t start = 0;  // identifies the process
  uint64_t count = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_COUNT_H_
