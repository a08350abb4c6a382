#ifndef KNAPWEEDSTILE_WIRE_BACKOFF_H_
#define KNAPWEEDSTILE_WIRE_BACKOFF_H_

#include <algorithm>
#include <cstdint>

#include "base/rng.h"
#include "base/time.h"

namespace knapweedstile::wire {

// How long to wait before the next connection attempt: doubles from `first` to
// `most`, of which a random half is taken off.
//
// Failure guarded against: after an availability zone comes back, thousands of
// processes would connect in the same instants again and again. The random half
// spreads each round, and `most` bounds how late a recovered peer is found.
class Backoff {
 public:
  Backoff(Duration first, Duration most) noexcept
      : first_(first), most_(most) {}

  Duration Next(uint32_t failures, Rng& rng) const noexcept {
    const uint32_t doublings = std::min(failures, kMostDoublings);
    const Duration ceiling =
        std::min<Duration>(first_ * (1LL << doublings), most_);
    const auto half = static_cast<uint64_t>(ceiling.count() / 2);
    return Duration(
        static_cast<Duration::rep>(half + UniformBelow(rng, half + 1)));
  }

 private:
  // Enough to reach any `most`; keeps the product inside 64 bits.
  static constexpr uint32_t kMostDoublings = 16;

  Duration first_;
  Duration most_;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_BACKOFF_H_
