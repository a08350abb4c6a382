#ifndef KNAPWEEDSTILE_GATEWAY_PAUSE_DETECTOR_H_
#define KNAPWEEDSTILE_GATEWAY_PAUSE_DETECTOR_H_

#include <chrono>

#include "base/time.h"

namespace knapweedstile::gateway {

// Notices that the process, or its whole VM, stood still.
//
// Failure guarded against: a VM is suspended for seconds. The monotonic clock
// may not count that time, and the datagrams that wait in the socket are from
// before, so all looks as fresh as it was; the entry would give away what
// others have taken since. The boot clock shows it, before anything is decided.
class PauseDetector {
 public:
  // Called often, with the time of a clock that counts suspension. True when
  // more time has passed since the last call than a busy process needs.
  bool DetectPause(TimePoint boot_now) {
    const bool first = last_boot_time_ == TimePoint{};
    const bool paused = !first && boot_now - last_boot_time_ > kPauseThreshold;
    last_boot_time_ = boot_now;
    return paused;
  }

 private:
  // Half of what other entries wait before they take this one for gone.
  static constexpr std::chrono::milliseconds kPauseThreshold{700};

  TimePoint last_boot_time_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PAUSE_DETECTOR_H_
