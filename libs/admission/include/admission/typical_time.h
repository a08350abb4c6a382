#ifndef KNAPWEEDSTILE_ADMISSION_TYPICAL_TIME_H_
#define KNAPWEEDSTILE_ADMISSION_TYPICAL_TIME_H_

#include <cmath>

#include "base/time.h"

namespace knapweedstile::admission {

// A time that most of the recent observations did not exceed: their running
// mean plus twice their mean deviation.
class TypicalTime {
 public:
  void Observe(Duration time) {
    const double seconds = ToSeconds(time);
    if (mean_ == 0) mean_ = seconds;
    deviation_ += kWeight * (std::abs(seconds - mean_) - deviation_);
    mean_ += kWeight * (seconds - mean_);
  }
  // Zero before the first observation.
  Duration value() const { return FromSeconds(mean_ + 2 * deviation_); }

 private:
  static constexpr double kWeight = 0.05;

  double mean_ = 0;
  double deviation_ = 0;
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_TYPICAL_TIME_H_
