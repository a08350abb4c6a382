#include "gate_idle_slots.h"

#include <algorithm>
#include <functional>

#include "gate_invariant.h"

namespace knapweedstile::decide {

GateIdleSlots::GateIdleSlots(uint32_t slots)
    : batch_from_(slots, TimePoint::min()) {}

void GateIdleSlots::Release(TimePoint batch_from) {
  const auto place = std::lower_bound(batch_from_.begin(), batch_from_.end(),
                                      batch_from, std::greater<>());
  batch_from_.insert(place, batch_from);
}

void GateIdleSlots::TakeForOnline() {
  CheckInvariant(!batch_from_.empty(), "online starts in an idle slot");
  batch_from_.erase(batch_from_.begin());
}

void GateIdleSlots::TakeForBatch() {
  CheckInvariant(!batch_from_.empty(), "batch starts in an idle slot");
  batch_from_.pop_back();
}

TimePoint GateIdleSlots::NextForBatch() const {
  return batch_from_.empty() ? kNever : batch_from_.back();
}

}  // namespace knapweedstile::decide
