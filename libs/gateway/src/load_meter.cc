#include "load_meter.h"

#include <algorithm>
#include <chrono>

namespace knapweedstile::gateway {
namespace {

// A timer that is this late leaves no headroom.
constexpr std::chrono::milliseconds kMaxLateness{100};
// Weight of one timer in the running mean, about a quarter of a second at 50
// timers a second.
constexpr double kTimerWeight = 0.08;

}  // namespace

void LoadMeter::OnTimer(TimePoint due, TimePoint now) {
  const double late =
      ToSeconds(std::max<Duration>(now - due, Duration::zero()));
  const double left = std::max(0.0, 1 - late / ToSeconds(kMaxLateness));
  headroom_ += kTimerWeight * (left - headroom_);
}

}  // namespace knapweedstile::gateway
