#include "cluster/fleet_layout.h"

#include <bit>

namespace knapweedstile::cluster {
namespace {

// Up to this size the messages between all gateways cost less than forwarding
// calls to the gateways that hold a job.
constexpr size_t kMaxUndividedGateways = 128;
constexpr size_t kGatewaysPerShard = 16;

}  // namespace

FleetLayout LayoutFor(size_t gateways) {
  if (gateways <= kMaxUndividedGateways) return {};
  return {.shards = static_cast<uint32_t>(
              std::bit_ceil(gateways / kGatewaysPerShard))};
}

}  // namespace knapweedstile::cluster
