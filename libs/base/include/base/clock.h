#ifndef KNAPWEEDSTILE_BASE_CLOCK_H_
#define KNAPWEEDSTILE_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <ctime>

#include "base/time.h"

namespace knapweedstile {

// The process's monotonic clock. Only code that does I/O reads the clocks;
// modules under libs/decide and libs/jobs take the time as an argument.
inline TimePoint MonotonicNow() noexcept {
  return std::chrono::steady_clock::now();
}

// Like MonotonicNow(), but includes time during which the VM was suspended.
// Used only to detect such suspensions; deadlines use MonotonicNow().
inline TimePoint BootNow() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

// Wall clock in nanoseconds since the Unix epoch, for the timeline and for
// output that humans read. No decision may depend on it.
inline int64_t WallClockNanos() noexcept {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_CLOCK_H_
