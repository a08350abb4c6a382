#ifndef KNAPWEEDSTILE_DECIDE_PLACEMENT_SETTINGS_H_
#define KNAPWEEDSTILE_DECIDE_PLACEMENT_SETTINGS_H_

#include <cstdint>

#include "base/time.h"

namespace knapweedstile::decide {

struct PlacementSettings {
  // Loads under way at once. Ground: the weight store's rate over the rate at
  // which one engine can read; more only makes each slower.
  uint32_t concurrent_loads = 2;
  // How long an engine may be away before its copies are made elsewhere, and a
  // copy be superfluous before it is unloaded. Ground: longer than an engine's
  // restart and than operators' corrections of a label, since a load costs
  // minutes of the weight store. To be measured.
  Duration settle = std::chrono::seconds(60);
  // A model counts as asked for this long after its last request.
  Duration demand_memory = std::chrono::minutes(10);
  // Until an order that has failed is tried on the same engine again.
  Duration retry_after = std::chrono::seconds(30);
  // For tests only: what goes wrong without the rule.
  bool keep_last_copy = true;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_PLACEMENT_SETTINGS_H_
