#include "gate_estimates.h"

#include <algorithm>

namespace knapweedstile::decide {

void GateEstimates::OnFirstOutput(Duration since_start) {
  Learn(first_output_, ToSeconds(since_start));
}

void GateEstimates::OnEnded(Duration since_start) {
  Learn(service_, ToSeconds(since_start));
}

Duration GateEstimates::FirstOutput() const {
  return FromSeconds(first_output_);
}

Duration GateEstimates::Wait(size_t ahead, uint32_t slots) const {
  const double rounds =
      static_cast<double>(ahead + 1) / std::max<uint32_t>(slots, 1);
  return FromSeconds(rounds * service_);
}

void GateEstimates::Learn(double& mean, double value) {
  mean = mean == 0 ? value : mean + kWeight * (value - mean);
}

}  // namespace knapweedstile::decide
