#ifndef KNAPWEEDSTILE_JOBS_JOB_PROGRESS_H_
#define KNAPWEEDSTILE_JOBS_JOB_PROGRESS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "jobs/item_set.h"
#include "jobs/result_segment_ref.h"

namespace knapweedstile::jobs {

// What is committed of one job.
struct JobProgress {
  ItemSet done;  // completed or failed
  uint32_t failed = 0;
  std::vector<ResultSegmentRef> results;  // in order of commit
  // Attempts that ended in a crash or with an unknown outcome, for items that
  // are not done; kept so that an item which takes its owner down with it does
  // not begin anew with each owner.
  std::map<uint32_t, uint32_t> attempts;
  // No further result is taken, though not all items are done (cancelled).
  // Committed before the job object says so: see ShardOwner.
  bool closed = false;

  uint32_t completed() const noexcept { return done.size() - failed; }
  bool Settled() const noexcept {
    return closed || done.size() == done.capacity();
  }
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOB_PROGRESS_H_
