#include "batch/record_kinds.h"

#include <fmt/format.h>

#include "batch/job_records.h"

namespace knapweedstile::gateway {

std::string RecordKinds::KindOfShard(uint32_t shard) const {
  if (!fleet_.divided()) return kRecordKind;
  return fmt::format("{}-{}of{}", kRecordKind, shard, fleet_.layout().shards);
}

std::string RecordKinds::KindOfJob(std::string_view job) const {
  return KindOfShard(fleet_.ShardOf(job));
}

std::vector<std::string> RecordKinds::OwnKinds() const {
  std::vector<std::string> kinds;
  for (const uint32_t shard : fleet_.OwnShards()) {
    kinds.push_back(KindOfShard(shard));
  }
  return kinds;
}

}  // namespace knapweedstile::gateway
