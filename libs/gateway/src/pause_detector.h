#ifndef KNAPWEEDSTILE_GATEWAY_PAUSE_DETECTOR_H_
#define KNAPWEEDSTILE_GATEWAY_PAUSE_DETECTOR_H_

#include <chrono>

#include "base/time.h"

namespace knapweedstile::gateway {

// Detects that the process or its whole VM was suspended.
//
// Guards against decisions on stale state after a VM was suspended for seconds.
// The monotonic clock may not count that time and the datagrams in the socket
// are from before it, so the state looks current, and the gateway would hand
// out capacity that its peers have since used. The boot clock counts the
// suspension. Pure logic: no I/O, no clock, no threads; the caller passes the
// time.
class PauseDetector {
 public:
  // To be called often, with the time of a clock that counts suspension.
  // Returns true if more time has passed since the last call than load alone
  // explains.
  bool DetectPause(TimePoint boot_now) {
    const bool first = last_boot_time_ == TimePoint{};
    const bool paused = !first && boot_now - last_boot_time_ > kPauseThreshold;
    last_boot_time_ = boot_now;
    return paused;
  }

 private:
  // Half of the timeout after which peers consider this gateway unreachable.
  static constexpr std::chrono::milliseconds kPauseThreshold{700};

  TimePoint last_boot_time_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PAUSE_DETECTOR_H_
