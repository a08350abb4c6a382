#ifndef KNAPWEEDSTILE_JOBS_JOB_ID_H_
#define KNAPWEEDSTILE_JOBS_JOB_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedstile::jobs {

// Names a job in the store and towards callers. It follows from the workspace
// and the idempotency key, so a resend through any entry finds the same job.
// The shard stands in it, so a job stays readable when the number of shards is
// changed later.
struct JobId {
  uint32_t shard = 0;
  std::string hash;  // 32 hexadecimal digits

  bool operator==(const JobId&) const = default;
};

JobId MakeJobId(std::string_view workspace, std::string_view key,
                uint32_t shard_count);

// `SSS-HASH`, as callers see it.
std::string ToString(const JobId& id);
std::optional<JobId> ParseJobId(std::string_view text);

// 128 bits of a stable hash as 32 hexadecimal digits.
std::string WideHash(std::string_view text);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOB_ID_H_
