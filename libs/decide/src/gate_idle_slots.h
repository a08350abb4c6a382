#ifndef KNAPWEEDSTILE_DECIDE_SRC_GATE_IDLE_SLOTS_H_
#define KNAPWEEDSTILE_DECIDE_SRC_GATE_IDLE_SLOTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace knapweedstile::decide {

// The idle slots of the backend server, each with the time from which batch may
// have it. Online takes the slot that batch would get last.
//
// Load pattern: online requests follow each other closely. Without the wait, a
// batch stream is resumed in each gap and parked again at once: it computes its
// context anew each time and delivers nothing (flapping).
class GateIdleSlots {
 public:
  explicit GateIdleSlots(uint32_t slots);

  // Commands.
  void Release(TimePoint batch_from);
  void TakeForOnline();
  void TakeForBatch();

  // Queries.
  size_t Count() const { return batch_from_.size(); }
  // When batch may have the next slot; kNever when none is idle.
  TimePoint NextForBatch() const;

 private:
  std::vector<TimePoint> batch_from_;  // latest first
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_GATE_IDLE_SLOTS_H_
