#ifndef KNAPWEEDSTILE_CLUSTER_SHARD_MAP_H_
#define KNAPWEEDSTILE_CLUSTER_SHARD_MAP_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "serving/cell.h"

namespace knapweedstile::cluster {

// Assigns the shards of batch jobs to cells by rendezvous hashing, so that a
// cell that is added or removed moves only its own shards.
class ShardMap {
 public:
  ShardMap() = default;
  ShardMap(uint32_t shards, const std::vector<serving::Cell>& cells);

  uint32_t ShardOf(std::string_view job) const;
  // With a single shard, the cell of all gateways.
  serving::Cell CellOf(uint32_t shard) const;
  std::vector<uint32_t> ShardsOf(const serving::Cell& cell) const;
  uint32_t shards() const noexcept {
    return static_cast<uint32_t>(cell_by_shard_.size());
  }

 private:
  std::vector<serving::Cell> cell_by_shard_{serving::Cell()};
};

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_SHARD_MAP_H_
