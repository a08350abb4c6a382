#ifndef KNAPWEEDSTILE_DECIDE_SRC_BATCH_DUE_H_
#define KNAPWEEDSTILE_DECIDE_SRC_BATCH_DUE_H_

#include <cstdint>

#include "base/time.h"

namespace knapweedstile::decide {

// Due classes: how near an item's due time is, in steps of a factor four, so
// that a cutoff near outranks one due in the morning while items of about the
// same nearness are equals and share fairly. Strict order by due time would let
// one job of many items hold back every job due a minute later.
//
// Ground: a border cutoff is minutes away and a care summary hours; a factor of
// four keeps these apart with six classes.
constexpr Duration kNearestDue = std::chrono::minutes(1);
constexpr int kDueFactor = 4;
constexpr uint32_t kDueClasses = 6;

// 0 is the most urgent: due within kNearestDue, or past due.
constexpr uint32_t DueClass(TimePoint due, TimePoint now) noexcept {
  const Duration left = Remaining(due, now);
  Duration bound = kNearestDue;
  uint32_t rank = 0;
  while (rank + 1 < kDueClasses && left > bound) {
    bound *= kDueFactor;
    ++rank;
  }
  return rank;
}

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_BATCH_DUE_H_
