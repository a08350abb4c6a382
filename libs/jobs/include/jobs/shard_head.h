#ifndef KNAPWEEDSTILE_JOBS_SHARD_HEAD_H_
#define KNAPWEEDSTILE_JOBS_SHARD_HEAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/job_progress.h"
#include "jobs/lease_record.h"

namespace knapweedstile::jobs {

// The value of a `shard` object: lease and progress together, so that renewing
// the lease and committing results are the same conditional update, and a
// holder that has been replaced can do neither.
struct ShardHead {
  LeaseRecord lease;
  uint64_t next_sequence = 1;  // of the next result segment
  // Every change of a job object of the shard up to this version is in `jobs`
  // or needs nothing further; a new holder lists what came later.
  uint64_t intake_revision = 0;
  std::map<std::string, JobProgress> jobs;  // open jobs, by the id's hash
};

std::string Encode(const ShardHead& head);
std::optional<ShardHead> DecodeShardHead(std::string_view value);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_SHARD_HEAD_H_
