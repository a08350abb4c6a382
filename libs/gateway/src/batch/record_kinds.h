#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_KINDS_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_KINDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/fleet_view.h"

namespace knapweedstile::gateway {

// The kinds of the store that hold the records of batch jobs: one kind for each
// shard, so that a gateway reads the jobs of its cell and no others.
class RecordKinds {
 public:
  explicit RecordKinds(const cluster::FleetView& fleet) : fleet_(fleet) {}

  std::string KindOfJob(std::string_view job) const;
  // Those that this gateway follows.
  std::vector<std::string> OwnKinds() const;

 private:
  std::string KindOfShard(uint32_t shard) const;

  const cluster::FleetView& fleet_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_KINDS_H_
