#ifndef KNAPWEEDSTILE_DECIDE_GATE_SETTINGS_H_
#define KNAPWEEDSTILE_DECIDE_GATE_SETTINGS_H_

#include <cstdint>

#include "base/time.h"
#include "decide/gate_rules.h"

namespace knapweedstile::decide {

// Fixed by the sidecar's settings file; what a serving policy may change is in
// SharingPolicy.
struct GateSettings {
  uint32_t slots = 8;            // requests the backend server runs at once
  uint32_t online_waiting = 32;  // bound of the online queue
  uint32_t batch_waiting = 32;   // bound of the batch queue, parked included
  GateRules rules;               // for tests and benchmarks only
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_GATE_SETTINGS_H_
