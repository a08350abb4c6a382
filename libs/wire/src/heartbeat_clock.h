#ifndef KNAPWEEDSTILE_WIRE_HEARTBEAT_CLOCK_H_
#define KNAPWEEDSTILE_WIRE_HEARTBEAT_CLOCK_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "clock_offset.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::wire {

// Numbers the heartbeats of one connection, echoes the other end's, and learns
// round trip and clock offset from the echoes.
class HeartbeatClock {
 public:
  // Fills in sequence, wall clock and echo of a heartbeat that leaves now.
  void Stamp(pb::Heartbeat& heartbeat, TimePoint now, int64_t wall_nanos);
  // Takes over a heartbeat that arrived now.
  void Take(const pb::Heartbeat& heartbeat, TimePoint now, int64_t wall_nanos);

  const ClockOffset& offset() const noexcept { return offset_; }

 private:
  // Heartbeats whose time of leaving is remembered: an echo older than eight
  // seconds says nothing useful.
  static constexpr size_t kRemembered = 16;

  uint64_t sequence_ = 0;
  std::array<TimePoint, kRemembered> left_{};
  uint64_t other_sequence_ = 0;
  TimePoint other_arrived_{};
  uint64_t last_echo_ = 0;
  ClockOffset offset_;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_HEARTBEAT_CLOCK_H_
