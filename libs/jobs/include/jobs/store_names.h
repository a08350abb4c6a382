#ifndef KNAPWEEDSTILE_JOBS_STORE_NAMES_H_
#define KNAPWEEDSTILE_JOBS_STORE_NAMES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::jobs {

struct JobId;
struct InputSegmentRef;

// The system's own kinds of objects in the platform's store.
inline constexpr std::string_view kJobKind = "job";
inline constexpr std::string_view kInputKind = "input";
inline constexpr std::string_view kShardKind = "shard";
inline constexpr std::string_view kResultKind = "result";
inline constexpr std::string_view kClaimKind = "claim";

std::string ShardName(uint32_t shard);
// Prefix of the job and result objects of a shard.
std::string ShardPrefix(uint32_t shard);
std::string JobName(const JobId& id);
// The body's hash and the items' range stand in the name, so that whoever
// writes the same name writes the same value: two submitters with other bodies,
// or with another packing, never mix their segments.
std::string InputName(const JobId& id, std::string_view body_hash,
                      const InputSegmentRef& segment);
// The fence makes the name unique to one holder of the shard's lease.
std::string ResultName(uint32_t shard, uint64_t fence, uint64_t sequence);
std::string ClaimName(std::string_view workspace, std::string_view key);

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_STORE_NAMES_H_
