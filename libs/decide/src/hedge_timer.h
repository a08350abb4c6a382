#ifndef KNAPWEEDSTILE_DECIDE_HEDGE_TIMER_H_
#define KNAPWEEDSTILE_DECIDE_HEDGE_TIMER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace knapweedstile::decide {

// The recent distribution of the time to first output of one target: when a
// hedge is due, and how long a request needs from dispatch to first output.
//
// Load pattern: one server in many answers late (a hung connection, a long
// pause). Without it a caller waits for that server until its deadline. A hedge
// at a high percentile adds at most that share of attempts (Dean and Barroso
// 2013), and the retry budget bounds it again.
class HedgeTimer {
 public:
  void OnFirstOutput(Duration after);

  // After this long without output a second attempt is due; none while too few
  // answers have been seen.
  std::optional<Duration> hedge_after() const noexcept;
  // Nearly every answer is there after this; zero while nothing was seen.
  Duration late() const noexcept { return late_; }

 private:
  static constexpr size_t kBuckets = 80;

  Duration Percentile(double share) const;

  // Bucket i counts times up to kLeast * kGrowth^i.
  std::array<uint32_t, kBuckets> counts_{};
  uint32_t total_ = 0;
  uint32_t since_refresh_ = 0;
  Duration late_{};
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_HEDGE_TIMER_H_
