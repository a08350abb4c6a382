#ifndef KNAPWEEDSTILE_FLEET_MEMBERSHIP_SETTINGS_H_
#define KNAPWEEDSTILE_FLEET_MEMBERSHIP_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::fleet {

// How one entry follows the fleet.
struct MembershipSettings {
  // Sidecars of one target that this entry connects to, the same ones as long
  // as they exist; zero: all. Bounds heartbeats in a large fleet.
  uint32_t servers_per_target = 0;
  // A VM absent from the list for this long, and not connected, is forgotten.
  Duration forget_after = std::chrono::seconds(30);
  // A list with less than this share of the known VMs is not believed ...
  double least_share = 0.5;
  // ... until it has been that short for this long.
  Duration believe_after = std::chrono::minutes(10);
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_MEMBERSHIP_SETTINGS_H_
