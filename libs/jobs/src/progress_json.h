#ifndef KNAPWEEDSTILE_JOBS_PROGRESS_JSON_H_
#define KNAPWEEDSTILE_JOBS_PROGRESS_JSON_H_

#include <boost/json.hpp>
#include <optional>

#include "jobs/job_progress.h"

namespace knapweedstile::jobs {

// JobProgress in the shard's head and in a finished job's object. Lists are
// flat and, where numbers rise, hold differences: the head is rewritten with
// every commit.
boost::json::object ToJson(const JobProgress& progress);
// Nothing when it says more items than any job may have: a damaged value must
// not make its reader allocate gigabytes.
std::optional<JobProgress> ProgressFromJson(const boost::json::object& object);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_PROGRESS_JSON_H_
