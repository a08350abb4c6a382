#ifndef KNAPWEEDSTILE_BASE_TIME_H_
#define KNAPWEEDSTILE_BASE_TIME_H_

#include <chrono>

namespace knapweedstile {

// A point on this process's monotonic clock. Deadlines are stored as time
// points, never as durations. Processes send each other the remaining time,
// from which the receiver computes its own deadline on arrival, since the
// clocks of two VMs differ (docs/design/clashes.md).
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

constexpr TimePoint kNever = TimePoint::max();

// Time from `now` until `deadline`, or zero when it has passed.
constexpr Duration Remaining(TimePoint deadline, TimePoint now) noexcept {
  return deadline > now ? deadline - now : Duration::zero();
}

constexpr double ToSeconds(Duration d) noexcept {
  return std::chrono::duration<double>(d).count();
}

constexpr Duration FromSeconds(double seconds) noexcept {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

constexpr int64_t ToNanos(Duration d) noexcept {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(d).count();
}

constexpr int64_t ToMillis(Duration d) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_TIME_H_
