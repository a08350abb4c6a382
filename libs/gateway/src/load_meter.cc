#include "load_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace knapweedstile::gateway {
namespace {

// Periodic work that is this late leaves no headroom.
constexpr std::chrono::milliseconds kMaxLateness{100};
// Time constants of the running mean.
constexpr std::chrono::milliseconds kFallTime{300};
constexpr std::chrono::milliseconds kRiseTime{2000};
// A process that was short is so until it has this headroom again.
constexpr double kRegainedHeadroom = 0.6;

}  // namespace

void LoadMeter::OnTimer(TimePoint due, TimePoint now) {
  const double late =
      ToSeconds(std::max<Duration>(now - due, Duration::zero()));
  const double left = std::max(0.0, 1 - late / ToSeconds(kMaxLateness));
  // One late run stands for all the time since the one before: a process that
  // stood still measures nothing meanwhile.
  const Duration elapsed =
      std::max<Duration>(now - std::min(measured_at_, due), Duration::zero());
  const Duration time_constant = left < mean_ ? kFallTime : kRiseTime;
  const double weight =
      1 - std::exp(-ToSeconds(elapsed) / ToSeconds(time_constant));
  mean_ += weight * (left - mean_);
  is_short_ = mean_ < (is_short_ ? kRegainedHeadroom : kShortHeadroom);
  measured_at_ = now;
}

}  // namespace knapweedstile::gateway
