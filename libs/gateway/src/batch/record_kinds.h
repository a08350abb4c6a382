#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_KINDS_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_KINDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/fleet_view.h"

namespace knapweedstile::gateway {

// Names of the store kinds that hold the records of batch jobs. Each shard has
// its own kind, so a gateway reads only the jobs of its cell.
class RecordKinds {
 public:
  explicit RecordKinds(const cluster::FleetView& fleet) : fleet_(fleet) {}

  std::string KindOfJob(std::string_view job) const;
  // Kinds of the shards that this gateway holds.
  std::vector<std::string> OwnKinds() const;

 private:
  std::string KindOfShard(uint32_t shard) const;

  const cluster::FleetView& fleet_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_KINDS_H_
