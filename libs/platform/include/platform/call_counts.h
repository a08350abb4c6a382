#ifndef KNAPWEEDSTILE_PLATFORM_CALL_COUNTS_H_
#define KNAPWEEDSTILE_PLATFORM_CALL_COUNTS_H_

#include <cstdint>

namespace knapweedstile::platform {

// Calls that reached the platform, by sort, as its quota counts them.
struct CallCounts {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t deletes = 0;
  uint64_t lists = 0;
  uint64_t watches = 0;
  uint64_t vm_lists = 0;
  uint64_t conflicts = 0;
  uint64_t bytes_written = 0;
  uint64_t bytes_read = 0;
};

}  // namespace knapweedstile::platform

#endif  // KNAPWEEDSTILE_PLATFORM_CALL_COUNTS_H_
