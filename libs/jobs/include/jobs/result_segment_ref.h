#ifndef KNAPWEEDSTILE_JOBS_RESULT_SEGMENT_REF_H_
#define KNAPWEEDSTILE_JOBS_RESULT_SEGMENT_REF_H_

#include <cstdint>

namespace knapweedstile::jobs {

// A stored value that holds `count` results of one job, among those of others.
struct ResultSegmentRef {
  uint64_t fence = 0;
  uint64_t sequence = 0;
  uint32_t count = 0;

  bool operator==(const ResultSegmentRef&) const = default;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_RESULT_SEGMENT_REF_H_
