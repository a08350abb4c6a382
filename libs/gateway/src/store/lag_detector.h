#ifndef KNAPWEEDSTILE_GATEWAY_LAG_DETECTOR_H_
#define KNAPWEEDSTILE_GATEWAY_LAG_DETECTOR_H_

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::gateway {

// Detects that the version known to this gateway stays behind the version that
// peers advertise.
//
// Guards against a watch whose connection went silent, which is
// indistinguishable from a watch without changes. Peers with working watches
// are ahead for longer than a change takes to arrive.
class LagDetector {
 public:
  // A peer knows version `advertised`; this gateway knows `own`.
  void OnAdvertised(uint64_t advertised, uint64_t own, TimePoint now) {
    if (advertised <= own) return;
    if (newest_advertised_ <= own) ahead_since_ = now;
    newest_advertised_ = std::max(newest_advertised_, advertised);
  }
  uint64_t newest_advertised() const noexcept { return newest_advertised_; }
  // Whether a peer knows a newer version, however recently it was advertised.
  bool PeersAhead(uint64_t own) const noexcept {
    return newest_advertised_ > own;
  }
  bool IsLagging(uint64_t own, TimePoint now) const {
    return newest_advertised_ > own && now - ahead_since_ >= kExpectedDelay;
  }

 private:
  // Changes reach all watches within some ten milliseconds.
  static constexpr std::chrono::milliseconds kExpectedDelay{300};

  uint64_t newest_advertised_ = 0;
  TimePoint ahead_since_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LAG_DETECTOR_H_
