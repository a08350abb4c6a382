#include "gate_demand_meter.h"

#include <algorithm>
#include <cmath>

namespace knapweedstile::decide {
namespace {

double Faded(double past, double present, double weight) {
  return past + weight * (present - past);
}

}  // namespace

void GateDemandMeter::OnLevel(TimePoint now, uint32_t level) {
  if (started_) {
    const OnlineDemand demand = Demand(now);
    mean_ = demand.mean;
    square_ = demand.deviation * demand.deviation + demand.mean * demand.mean;
  }
  started_ = true;
  since_ = now;
  level_ = level;
}

OnlineDemand GateDemandMeter::Demand(TimePoint now) const {
  const double seconds = ToSeconds(now - since_);
  const double weight =
      started_ ? 1 - std::exp(-std::max(0.0, seconds) / kMemorySeconds) : 0;
  const double level = level_;
  const double mean = Faded(mean_, level, weight);
  const double square = Faded(square_, level * level, weight);
  return {level_, mean, std::sqrt(std::max(0.0, square - mean * mean))};
}

}  // namespace knapweedstile::decide
