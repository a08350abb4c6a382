#ifndef KNAPWEEDSTILE_JOBS_SHARD_OWNER_STATS_H_
#define KNAPWEEDSTILE_JOBS_SHARD_OWNER_STATS_H_

#include <cstdint>

namespace knapweedstile::jobs {

// Counts since the start, for the metrics.
struct ShardOwnerStats {
  uint64_t handed_out = 0;
  uint64_t committed = 0;          // results known to be stored
  uint64_t failed_items = 0;       // of these
  uint64_t late_results = 0;       // dropped: second result, lost lease, cancel
  uint64_t failed_attempts = 0;    // crash, unknown outcome, timeout
  uint64_t yields = 0;             // made room for online requests
  uint64_t flushes = 0;            // commits with results
  uint64_t acquired = 0;           // times the lease was taken
  uint64_t lost = 0;               // times it was lost or released
  uint64_t finished_jobs = 0;      // job objects in their final state
  uint64_t unreadable = 0;         // stored values that could not be read
  uint64_t discarded_at_loss = 0;  // uncommitted results; the items run again
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_SHARD_OWNER_STATS_H_
