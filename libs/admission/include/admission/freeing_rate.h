#ifndef KNAPWEEDSTILE_ADMISSION_FREEING_RATE_H_
#define KNAPWEEDSTILE_ADMISSION_FREEING_RATE_H_

#include <cstdint>

#include "admission/slot_flow.h"
#include "base/time.h"

namespace knapweedstile::admission {

// Rate at which slots of a service become free for this gateway while all are
// in use. Pure logic: the caller passes the time.
//
// Designed for peaks and valleys that alternate within seconds. In a valley,
// requests end as rarely as they arrive, which says nothing about what the next
// peak will free; therefore only ends during saturation count, against the time
// of saturation. Each gateway counts the ends of its own requests: it knows
// them first, and while all slots are in use they are its part of the cell's.
//
// Kept for each slot and second, so that the rate follows a server set that
// grows, shrinks or empties, and a count of slots that is low for a moment
// changes it little.
class FreeingRate {
 public:
  // All of the service's `slots` slots are in use; holds for a short time.
  void OnSaturated(uint32_t slots, TimePoint now);
  // A request of this gateway left its slot.
  void OnFreed(TimePoint now);
  // A request came to this gateway, for the first time or again.
  void OnOffered(TimePoint now);
  // Of `slots` slots. Zero as long as too little saturation was observed.
  SlotFlow Flow(uint32_t slots, TimePoint now) const;
  bool IsSaturated(TimePoint now) const { return now < saturated_until_; }

 private:
  // Sums with exponential decay over saturated time.
  struct Sums {
    double freed = 0;
    double offered = 0;
    double seconds = 0;
    double slot_seconds = 0;
  };
  Sums At(TimePoint now) const;

  Sums sums_;
  TimePoint as_of_{};
  TimePoint saturated_until_{};
  uint32_t slots_ = 0;
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_FREEING_RATE_H_
