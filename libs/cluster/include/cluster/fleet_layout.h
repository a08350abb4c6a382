#ifndef KNAPWEEDSTILE_CLUSTER_FLEET_LAYOUT_H_
#define KNAPWEEDSTILE_CLUSTER_FLEET_LAYOUT_H_

#include <cstddef>
#include <cstdint>

namespace knapweedstile::cluster {

// Division of a fleet's batch jobs among its gateways. Written to the store
// once, so that all gateways use the same layout at all times.
struct FleetLayout {
  // One: every gateway holds every job.
  uint32_t shards = 1;

  bool divided() const noexcept { return shards > 1; }
  bool operator==(const FleetLayout&) const = default;
};

// The layout for a new fleet of this many gateways.
FleetLayout LayoutFor(size_t gateways);

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_FLEET_LAYOUT_H_
