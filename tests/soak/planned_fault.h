#ifndef KNAPWEEDSTILE_SOAK_PLANNED_FAULT_H_
#define KNAPWEEDSTILE_SOAK_PLANNED_FAULT_H_

#include <chrono>
#include <cstdint>

#include "fault_kind.h"

namespace knapweedstile::soak {

struct PlannedFault {
  std::chrono::milliseconds at{0};  // since traffic started
  FaultKind kind = FaultKind::kReloadGateway;
  std::chrono::milliseconds duration{0};
  uint64_t target = 0;    // which gateway or server, modulo their number
  uint64_t strength = 0;  // random; sets a count, clock offset or variant
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_PLANNED_FAULT_H_
