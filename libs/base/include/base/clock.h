#ifndef KNAPWEEDSTILE_BASE_CLOCK_H_
#define KNAPWEEDSTILE_BASE_CLOCK_H_

#include <cstdint>

#include "base/time.h"

namespace knapweedstile {

// The process's clocks. Only the shells of a process read them; modules under
// libs/decide and libs/jobs take the time as an argument.
inline TimePoint MonotonicNow() noexcept {
  return std::chrono::steady_clock::now();
}

// Wall clock in nanoseconds since the Unix epoch, for the time line and for
// what people read. Never used to decide.
inline int64_t WallClockNanos() noexcept {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_CLOCK_H_
