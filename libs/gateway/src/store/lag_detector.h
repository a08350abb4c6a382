#ifndef KNAPWEEDSTILE_GATEWAY_LAG_DETECTOR_H_
#define KNAPWEEDSTILE_GATEWAY_LAG_DETECTOR_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::gateway {

// Notices that what this entry knows stays behind what others tell.
//
// Failure guarded against: a watch whose connection went silent looks like one
// on which nothing happens. Others whose watches live are ahead, and stay so
// for longer than a change takes to arrive.
class LagDetector {
 public:
  // Another entry knows version `advertised`; this one knows `own`.
  void OnAdvertised(uint64_t advertised, uint64_t own, TimePoint now) {
    if (advertised <= own) return;
    if (newest_advertised_ <= own) ahead_since_ = now;
    newest_advertised_ = std::max(newest_advertised_, advertised);
  }
  // Whether others know a newer version, however lately they have advertised of
  // it.
  bool PeersAhead(uint64_t own) const noexcept {
    return newest_advertised_ > own;
  }
  bool IsLagging(uint64_t own, TimePoint now) const {
    return newest_advertised_ > own && now - ahead_since_ >= kUsualDelay;
  }

 private:
  // Changes reach all watches within some ten milliseconds.
  static constexpr std::chrono::milliseconds kUsualDelay{300};

  uint64_t newest_advertised_ = 0;
  TimePoint ahead_since_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LAG_DETECTOR_H_
