#ifndef KNAPWEEDSTILE_SERVING_DEMAND_HISTORY_H_
#define KNAPWEEDSTILE_SERVING_DEMAND_HISTORY_H_

#include <cmath>
#include <cstdint>

#include "decide/sharing_rule.h"

namespace knapweedstile::serving {

// Mean and standard deviation of the concurrent online requests of a backend
// server, exponentially weighted. The memory is about five seconds at ten
// samples a second, which covers one peak and one valley of the usual load (3.0
// s and 2.2 s).
class DemandHistory {
 public:
  void Observe(uint32_t online) {
    const double step = online - mean_;
    mean_ += kSmoothingFactor * step;
    variance_ =
        (1 - kSmoothingFactor) * (variance_ + kSmoothingFactor * step * step);
  }
  decide::OnlineDemand At(uint32_t online) const {
    return {.now = online, .mean = mean_, .deviation = std::sqrt(variance_)};
  }

 private:
  static constexpr double kSmoothingFactor = 0.02;

  double mean_ = 0;
  double variance_ = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_DEMAND_HISTORY_H_
