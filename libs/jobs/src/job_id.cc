#include "jobs/job_id.h"

#include <fmt/format.h>

#include <charconv>

#include "base/hash.h"
#include "jobs/input_segment_ref.h"
#include "jobs/store_names.h"

namespace knapweedstile::jobs {

namespace {

constexpr uint64_t kSecondSeed = 0x9e3779b97f4a7c15;
constexpr size_t kHashDigits = 32;

// Two texts as one; the length keeps ("a","bc") apart from ("ab","c").
std::string Joined(std::string_view a, std::string_view b) {
  return fmt::format("{}:{}{}", a.size(), a, b);
}

}  // namespace

std::string WideHash(std::string_view text) {
  return HexOf(Hash64(text)) + HexOf(Hash64(text, kSecondSeed));
}

JobId MakeJobId(std::string_view workspace, std::string_view key,
                uint32_t shard_count) {
  const std::string text = Joined(workspace, key);
  return {static_cast<uint32_t>(Hash64(text) % shard_count), WideHash(text)};
}

std::string ToString(const JobId& id) {
  return ShardName(id.shard) + "-" + id.hash;
}

std::optional<JobId> ParseJobId(std::string_view text) {
  const size_t dash = text.find('-');
  if (dash == std::string_view::npos) return std::nullopt;
  JobId id;
  const char* end = text.data() + dash;
  const auto parsed = std::from_chars(text.data(), end, id.shard);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  id.hash = std::string(text.substr(dash + 1));
  const bool valid =
      id.hash.size() == kHashDigits &&
      id.hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!valid || ToString(id) != text) return std::nullopt;
  return id;
}

std::string ShardName(uint32_t shard) { return fmt::format("{:03}", shard); }

std::string ShardPrefix(uint32_t shard) { return ShardName(shard) + "/"; }

std::string JobName(const JobId& id) { return ShardPrefix(id.shard) + id.hash; }

std::string InputName(const JobId& id, std::string_view body_hash,
                      const InputSegmentRef& segment) {
  return fmt::format("{}/{}/{}-{}", JobName(id), body_hash, segment.first,
                     segment.count);
}

std::string ResultName(uint32_t shard, uint64_t fence, uint64_t sequence) {
  return fmt::format("{}{}-{}", ShardPrefix(shard), fence, sequence);
}

std::string ClaimName(std::string_view workspace, std::string_view key) {
  return WideHash(Joined(workspace, key));
}

}  // namespace knapweedstile::jobs
