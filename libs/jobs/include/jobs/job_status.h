#ifndef KNAPWEEDSTILE_JOBS_JOB_STATUS_H_
#define KNAPWEEDSTILE_JOBS_JOB_STATUS_H_

#include <cstdint>
#include <string>

#include "jobs/job_id.h"
#include "jobs/job_state.h"

namespace knapweedstile::jobs {

// A job as its caller sees it; counts hold committed results only.
struct JobStatus {
  JobId id;
  std::string workspace;
  JobState state = JobState::kRunning;
  uint32_t total = 0;
  uint32_t completed = 0;
  uint32_t failed = 0;
  uint32_t cancelled = 0;
  int64_t created_ms = 0;  // wall clock
  int64_t due_ms = 0;      // zero: none
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOB_STATUS_H_
