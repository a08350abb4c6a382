#ifndef KNAPWEEDSTILE_CLUSTER_FLEET_LAYOUT_H_
#define KNAPWEEDSTILE_CLUSTER_FLEET_LAYOUT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "serving/cell.h"

namespace knapweedstile::cluster {

inline constexpr uint32_t kDefaultMaxUndividedGateways = 128;

// Division of a fleet's batch jobs among its gateways. Written to the store
// once, before the first job is accepted, and never changed: where a job's
// records are follows from it.
struct FleetLayout {
  // One: every gateway holds every job.
  uint32_t shards = 1;
  // The cells among which the shards are divided. Empty in layouts of older
  // versions: the cells that the fleet has at the moment.
  std::vector<serving::Cell> cells;

  bool divided() const noexcept { return shards > 1; }
  bool operator==(const FleetLayout&) const = default;
};

// The layout for a new fleet of this many gateways, which is divided if there
// are more than `max_undivided`.
FleetLayout LayoutFor(size_t gateways,
                      size_t max_undivided = kDefaultMaxUndividedGateways);

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_FLEET_LAYOUT_H_
