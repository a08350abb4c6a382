#ifndef KNAPWEEDSTILE_JOBS_SUBMISSION_SETTINGS_H_
#define KNAPWEEDSTILE_JOBS_SUBMISSION_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::jobs {

struct SubmissionSettings {
  uint32_t shard_count = 16;
  uint32_t max_items = 130'000;
  // Below the platform's 1 MB: few calls, and room for the last item.
  size_t segment_bytes = 900 << 10;
  // Segment writes in flight at once: bounds memory and the burst on the quota.
  uint32_t parallel_writes = 4;
  Duration call_timeout = std::chrono::seconds(3);
  // For proofs: off takes a lost answer for a write that took effect.
  bool read_back_lost_answers = true;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_SUBMISSION_SETTINGS_H_
