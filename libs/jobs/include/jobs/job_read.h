#ifndef KNAPWEEDSTILE_JOBS_JOB_READ_H_
#define KNAPWEEDSTILE_JOBS_JOB_READ_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"
#include "jobs/job_id.h"
#include "jobs/job_status.h"

namespace knapweedstile::jobs {

// What to read of a job.
struct JobReadRequest {
  JobId id;
  uint64_t after = 0;  // results: how many lines to pass over
  uint32_t limit = 0;  // results: lines at most; zero: the status alone
  TimePoint deadline = kNever;
};

enum class JobReadOutcome {
  kOk,
  kNotFound,
  kUnavailable,  // the platform did not answer before the deadline
};

struct JobReadResult {
  JobReadOutcome outcome = JobReadOutcome::kUnavailable;
  JobStatus status;
  std::vector<std::string> lines;  // in order of commit
  // Where the next page begins; none when the job is final and all was read.
  std::optional<uint64_t> next_after;
};

}  // namespace knapweedstile::jobs

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3>
    kEnumNames<jobs::JobReadOutcome> = {"ok", "not_found", "unavailable"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_JOBS_JOB_READ_H_
