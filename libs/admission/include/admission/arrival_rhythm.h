#ifndef KNAPWEEDSTILE_ADMISSION_ARRIVAL_RHYTHM_H_
#define KNAPWEEDSTILE_ADMISSION_ARRIVAL_RHYTHM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace knapweedstile::admission {

// Learns the rhythm of arrivals and predicts how many come in a moment soon.
// Pure logic: the caller passes the time.
//
// Designed for traffic whose peaks and valleys alternate within seconds, on
// which bursts of several times the traffic are laid. Arrivals are counted by
// tenths of a second; the period is the distance at which their logarithm, in
// which a burst is only a shift, correlates best with itself. Traffic without a
// clear period has no rhythm, and nothing is predicted.
class ArrivalRhythm {
 public:
  static constexpr std::chrono::milliseconds kSpan{100};

  void OnArrival(TimePoint now);
  // None: no rhythm.
  std::optional<Duration> Period(TimePoint now);
  // Expected arrivals in the span of time that contains `at`, at the present
  // level of traffic. None: no rhythm.
  std::optional<double> Expected(TimePoint at, TimePoint now);

  static int64_t SpanOf(TimePoint at) { return at.time_since_epoch() / kSpan; }

 private:
  static constexpr int64_t kSpans = 320;

  void AdvanceTo(int64_t span);
  void Learn();
  // Mean count around the span, over the periods before `span_now`.
  double Profile(int64_t span, int64_t span_now) const;
  // What came lately, as a multiple of what usually comes at that point of the
  // period.
  double Level();
  // Mean count of the few spans around `span`.
  double Smoothed(int64_t span, int64_t half_width) const;
  uint32_t CountIn(int64_t span) const;

  std::array<uint32_t, kSpans> counts_{};
  int64_t first_ = 0;
  int64_t last_ = 0;
  int64_t learned_at_ = 0;
  int64_t period_ = 0;  // in spans; zero: none
  double level_ = 1;
  int64_t level_at_ = 0;  // the last span when it was computed; zero: not yet
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_ARRIVAL_RHYTHM_H_
