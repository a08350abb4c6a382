#ifndef KNAPWEEDSTILE_JOBS_JOB_RECORD_H_
#define KNAPWEEDSTILE_JOBS_JOB_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/input_segment_ref.h"
#include "jobs/job_progress.h"
#include "jobs/job_state.h"

namespace knapweedstile::jobs {

// The value of a `job` object. Wall-clock times are in milliseconds since the
// Unix epoch; they order jobs and are shown to people, no lease hangs on them.
struct JobRecord {
  std::string workspace;
  std::string key;
  std::string body_hash;
  uint32_t total = 0;
  int64_t created_ms = 0;
  int64_t due_ms = 0;  // zero: none
  JobState state = JobState::kRunning;
  std::vector<InputSegmentRef> inputs;
  // Once the state is final; until then the shard's head has it.
  JobProgress progress;
};

std::string Encode(const JobRecord& record);
std::optional<JobRecord> DecodeJobRecord(std::string_view value);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOB_RECORD_H_
