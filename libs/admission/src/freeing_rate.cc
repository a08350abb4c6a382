#include "admission/freeing_rate.h"

#include <algorithm>
#include <cmath>

namespace knapweedstile::admission {
namespace {

// Longer than the pauses between two rejections in a peak, shorter than a
// valley.
constexpr std::chrono::milliseconds kSaturationHold{200};
// Memory, in saturated time.
constexpr double kMemorySeconds = 1.0;
// Saturated time before the rate is used.
constexpr double kMinObservedSeconds = 0.15;

}  // namespace

FreeingRate::Sums FreeingRate::At(TimePoint now) const {
  const TimePoint end = std::min(now, saturated_until_);
  if (end <= as_of_) return sums_;
  const double kept = std::exp(-ToSeconds(end - as_of_) / kMemorySeconds);
  const double passed = kMemorySeconds * (1 - kept);
  return {.freed = sums_.freed * kept,
          .offered = sums_.offered * kept,
          .seconds = sums_.seconds * kept + passed,
          .slot_seconds = sums_.slot_seconds * kept + slots_ * passed};
}

void FreeingRate::OnSaturated(uint32_t slots, TimePoint now) {
  sums_ = At(now);
  as_of_ = now;
  slots_ = slots;
  saturated_until_ = now + kSaturationHold;
}

void FreeingRate::OnFreed(TimePoint now) {
  if (!IsSaturated(now)) return;
  sums_ = At(now);
  as_of_ = now;
  sums_.freed += 1;
}

void FreeingRate::OnOffered(TimePoint now) {
  if (!IsSaturated(now)) return;
  sums_ = At(now);
  as_of_ = now;
  sums_.offered += 1;
}

SlotFlow FreeingRate::Flow(uint32_t slots, TimePoint now) const {
  const Sums sums = At(now);
  if (sums.seconds < kMinObservedSeconds || sums.slot_seconds <= 0) return {};
  return {.freed_per_second = slots * sums.freed / sums.slot_seconds,
          .offered_per_second = sums.offered / sums.seconds};
}

}  // namespace knapweedstile::admission
