#ifndef KNAPWEEDSTILE_WIRE_CLOCK_OFFSET_H_
#define KNAPWEEDSTILE_WIRE_CLOCK_OFFSET_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweedstile::wire {

// The other end's wall clock minus ours, from echo round trips. The error of a
// sample is at most half its round trip, so the sample with the least round
// trip among the recent ones is kept.
class ClockOffset {
 public:
  void Add(int64_t round_trip_nanos, int64_t offset_nanos) noexcept {
    samples_[next_ % kSamples] = {round_trip_nanos, offset_nanos};
    ++next_;
  }

  int64_t round_trip_nanos() const noexcept { return Best().round_trip_nanos; }
  int64_t offset_nanos() const noexcept { return Best().offset_nanos; }

 private:
  struct Sample {
    int64_t round_trip_nanos = 0;
    int64_t offset_nanos = 0;
  };

  // At two heartbeats a second, the window covers eight seconds: clocks that
  // drift 100 microseconds a second move by less than a round trip between
  // regions in it.
  static constexpr size_t kSamples = 16;

  Sample Best() const noexcept {
    Sample best;
    const size_t count = next_ < kSamples ? next_ : kSamples;
    for (size_t i = 0; i < count; ++i) {
      const bool better = samples_[i].round_trip_nanos < best.round_trip_nanos;
      if (i == 0 || better) best = samples_[i];
    }
    return best;
  }

  std::array<Sample, kSamples> samples_;
  size_t next_ = 0;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_CLOCK_OFFSET_H_
