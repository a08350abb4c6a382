#include "heartbeat_clock.h"

#include <chrono>

namespace knapweedstile::wire {
namespace {

int64_t ToNanos(Duration d) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(d).count();
}

}  // namespace

void HeartbeatClock::Stamp(pb::Heartbeat& heartbeat, TimePoint now,
                           int64_t wall_nanos) {
  ++sequence_;
  left_[sequence_ % kRemembered] = now;
  heartbeat.set_sequence(sequence_);
  heartbeat.set_wall_clock_nanos(wall_nanos);
  heartbeat.set_echo_sequence(other_sequence_);
  const Duration held =
      other_sequence_ == 0 ? Duration{} : now - other_arrived_;
  heartbeat.set_echo_hold_nanos(static_cast<uint64_t>(ToNanos(held)));
}

void HeartbeatClock::Take(const pb::Heartbeat& heartbeat, TimePoint now,
                          int64_t wall_nanos) {
  other_sequence_ = heartbeat.sequence();
  other_arrived_ = now;
  const uint64_t echo = heartbeat.echo_sequence();
  const bool is_new = echo > last_echo_ && echo <= sequence_;
  if (!is_new || sequence_ - echo >= kRemembered) return;
  last_echo_ = echo;
  const int64_t elapsed = ToNanos(now - left_[echo % kRemembered]);
  // A hold longer than the whole round is a broken sample of the other end.
  if (heartbeat.echo_hold_nanos() > static_cast<uint64_t>(elapsed)) return;
  const int64_t round_trip =
      elapsed - static_cast<int64_t>(heartbeat.echo_hold_nanos());
  // Unsigned: a wall clock sent by a broken peer must not overflow.
  const auto sent_at = static_cast<uint64_t>(heartbeat.wall_clock_nanos());
  const auto half = static_cast<uint64_t>(round_trip / 2);
  const auto ours = static_cast<uint64_t>(wall_nanos);
  offset_.Add(round_trip, static_cast<int64_t>(sent_at + half - ours));
}

}  // namespace knapweedstile::wire
