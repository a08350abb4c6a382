#ifndef KNAPWEEDSTILE_DECIDE_LOAD_REPORT_H_
#define KNAPWEEDSTILE_DECIDE_LOAD_REPORT_H_

#include <cstdint>

#include "base/time.h"

namespace knapweedstile::decide {

// A sidecar's account of its backend server, carried by heartbeats and replies.
// It is old by the time it is read: `measured_at` is already on the reader's
// clock.
struct LoadReport {
  TimePoint measured_at;
  uint32_t slots = 0;  // requests the backend server runs at once
  uint32_t online_running = 0;
  uint32_t online_waiting = 0;
  uint32_t batch_running = 0;
  uint32_t batch_waiting = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_LOAD_REPORT_H_
