#ifndef KNAPWEEDSTILE_GATEWAY_LOAD_METER_H_
#define KNAPWEEDSTILE_GATEWAY_LOAD_METER_H_

#include "base/time.h"

namespace knapweedstile::gateway {

// Measures whether this process gets enough processor time, from how late its
// periodic work runs. Pure logic: no I/O, no clock, no threads; the caller
// passes the time.
//
// Designed for a VM with a tenth of a core whose work, or whose share of the
// processor, changes within a second: by the time its processor time was
// counted, callers would already be waiting.
class LoadMeter {
 public:
  // Periodic work that was due at `due` runs at `now`.
  void OnTimer(TimePoint due, TimePoint now);
  // Share of the processor time that is left, 0 to 1.
  double headroom() const noexcept { return headroom_; }

 private:
  double headroom_ = 1;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LOAD_METER_H_
