#include "cluster/shard_map.h"

#include <algorithm>

#include "base/hash.h"

namespace knapweedstile::cluster {
namespace {

uint64_t Score(const serving::Cell& cell, uint32_t shard) {
  return HashCombine(Hash64(cell.availability_zone, shard),
                     HashCombine(cell.parts, cell.part));
}

}  // namespace

ShardMap::ShardMap(uint32_t shards, const std::vector<serving::Cell>& cells) {
  if (shards <= 1 || cells.empty()) return;
  cell_by_shard_.clear();
  for (uint32_t shard = 0; shard < shards; ++shard) {
    cell_by_shard_.push_back(*std::max_element(
        cells.begin(), cells.end(), [shard](const auto& a, const auto& b) {
          return Score(a, shard) < Score(b, shard);
        }));
  }
}

uint32_t ShardMap::ShardOf(std::string_view job) const {
  return static_cast<uint32_t>(Hash64(job) % cell_by_shard_.size());
}

serving::Cell ShardMap::CellOf(uint32_t shard) const {
  return cell_by_shard_[shard % cell_by_shard_.size()];
}

std::vector<uint32_t> ShardMap::ShardsOf(const serving::Cell& cell) const {
  std::vector<uint32_t> held;
  for (uint32_t shard = 0; shard < cell_by_shard_.size(); ++shard) {
    if (cell_by_shard_[shard] == cell) held.push_back(shard);
  }
  return held;
}

}  // namespace knapweedstile::cluster
