#ifndef KNAPWEEDSTILE_SERVING_START_RATE_H_
#define KNAPWEEDSTILE_SERVING_START_RATE_H_

#include <cmath>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::serving {

// Starts per second, exponentially weighted with a memory of half a second.
// Traffic steps from a third to twice its mean within milliseconds, and a
// longer memory would carry the rate of a valley into the next peak.
class StartRate {
 public:
  void Add(uint32_t starts, TimePoint now) {
    rate_ = At(now) + starts / kTimeConstantSeconds;
    as_of_ = now;
  }
  double At(TimePoint now) const {
    if (as_of_ == TimePoint{}) return 0;
    return rate_ * std::exp(-ToSeconds(now - as_of_) / kTimeConstantSeconds);
  }

 private:
  static constexpr double kTimeConstantSeconds = 0.5;

  double rate_ = 0;
  TimePoint as_of_{};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_START_RATE_H_
