#ifndef KNAPWEEDSTILE_SOAK_FAULT_PLAN_H_
#define KNAPWEEDSTILE_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <vector>

#include "planned_fault.h"
#include "soak_size.h"

namespace knapweedstile::soak {

// Returns the schedule of one run, sorted by time: routine operations first,
// then all kinds of faults, alone, in series and overlapping.
std::vector<PlannedFault> MakeFaultPlan(uint64_t seed, const SoakSize& size);

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_FAULT_PLAN_H_
