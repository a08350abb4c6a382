#ifndef KNAPWEEDSTILE_DECIDE_SRC_GATE_DEMAND_METER_H_
#define KNAPWEEDSTILE_DECIDE_SRC_GATE_DEMAND_METER_H_

#include <cstdint>

#include "base/time.h"
#include "decide/sharing_rule.h"

namespace knapweedstile::decide {

// Time-weighted mean and deviation of the number of online requests in the
// gate, with older time fading out exponentially.
class GateDemandMeter {
 public:
  // Commands.
  void OnLevel(TimePoint now, uint32_t level);

  // Queries.
  OnlineDemand Demand(TimePoint now) const;

 private:
  // Ground: bursts of online arrivals last seconds to a minute; a memory of
  // half a minute sees the burst it is in and has forgotten the one before the
  // last. To be measured on real arrivals.
  static constexpr double kMemorySeconds = 30;

  double mean_ = 0;
  double square_ = 0;
  uint32_t level_ = 0;
  TimePoint since_;
  bool started_ = false;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_GATE_DEMAND_METER_H_
