#include "cluster/fleet_layout.h"

#include <algorithm>
#include <bit>

namespace knapweedstile::cluster {
namespace {

constexpr size_t kGatewaysPerShard = 16;
constexpr size_t kMinShards = 2;

}  // namespace

FleetLayout LayoutFor(size_t gateways, size_t max_undivided) {
  if (gateways <= max_undivided) return {};
  const size_t shards = std::max(gateways / kGatewaysPerShard, kMinShards);
  return {.shards = static_cast<uint32_t>(std::bit_ceil(shards))};
}

}  // namespace knapweedstile::cluster
