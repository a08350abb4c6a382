#ifndef KNAPWEEDSTILE_JOBS_BACKOFF_H_
#define KNAPWEEDSTILE_JOBS_BACKOFF_H_

#include <algorithm>

#include "base/rng.h"
#include "base/time.h"

namespace knapweedstile::jobs {

// When to try a call to the platform again: exponential with full jitter.
//
// Load pattern: the platform comes back after an outage in which every process
// has something to write. Without the jitter they return together, and the
// quota is spent on refusals. The least delay is a few answer times of the
// platform; the greatest bounds how long work stands still after its return.
class Backoff {
 public:
  explicit Backoff(uint64_t seed) : rng_(seed) {}

  void Reset() noexcept { delay_ = kLeast; }

  // The next point to try at; never before `not_before` (Retry-After).
  TimePoint Next(TimePoint now, Duration not_before = {}) {
    const auto span = static_cast<uint64_t>(delay_.count());
    const Duration jittered = delay_ / 2 + Duration(UniformBelow(rng_, span));
    delay_ = std::min(delay_ * 2, kGreatest);
    return now + std::max(jittered, not_before);
  }

  // One period from now, a quarter more or less: processes that started
  // together, or that an outage has lined up, drift apart.
  TimePoint Jittered(TimePoint now, Duration period) {
    const auto spread = static_cast<uint64_t>(period.count() / 2 + 1);
    return now + period * 3 / 4 + Duration(UniformBelow(rng_, spread));
  }

 private:
  static constexpr Duration kLeast = std::chrono::milliseconds(40);
  static constexpr Duration kGreatest = std::chrono::milliseconds(2000);

  Rng rng_;
  Duration delay_ = kLeast;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_BACKOFF_H_
