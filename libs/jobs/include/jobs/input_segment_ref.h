#ifndef KNAPWEEDSTILE_JOBS_INPUT_SEGMENT_REF_H_
#define KNAPWEEDSTILE_JOBS_INPUT_SEGMENT_REF_H_

#include <cstdint>

namespace knapweedstile::jobs {

// One stored value with the lines of consecutive items.
struct InputSegmentRef {
  uint32_t first = 0;
  uint32_t count = 0;

  bool operator==(const InputSegmentRef&) const = default;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_INPUT_SEGMENT_REF_H_
