#ifndef KNAPWEEDSTILE_GATEWAY_LOAD_METER_H_
#define KNAPWEEDSTILE_GATEWAY_LOAD_METER_H_

#include <algorithm>

#include "base/time.h"

namespace knapweedstile::gateway {

// Below this headroom a process gives up work that others can do.
inline constexpr double kShortHeadroom = 0.4;

constexpr bool IsShortOfProcessor(double headroom) noexcept {
  return headroom < kShortHeadroom;
}

// Measures whether this process gets enough processor time, from how late its
// periodic work runs. Pure logic: no I/O, no clock, no threads; the caller
// passes the time.
//
// Designed for a VM with a tenth of a core whose work, or whose share of the
// processor, changes within a second: by the time its processor time was
// counted, callers would already be waiting. The headroom falls within a
// fraction of a second and rises within seconds, and a process that was short
// stays so until it has clearly more than the threshold, so that work is not
// handed back and forth.
class LoadMeter {
 public:
  // Periodic work that was due at `due` runs at `now`.
  void OnTimer(TimePoint due, TimePoint now);
  // Share of the processor time that is left, 0 to 1.
  double headroom() const noexcept {
    return is_short_ ? std::min(mean_, kShortHeadroom / 2) : mean_;
  }

 private:
  double mean_ = 1;
  bool is_short_ = false;
  TimePoint measured_at_ = kNever;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LOAD_METER_H_
