#ifndef KNAPWEEDSTILE_BASE_LOG_BUDGET_H_
#define KNAPWEEDSTILE_BASE_LOG_BUDGET_H_

#include <algorithm>

#include "base/time.h"

namespace knapweedstile {

// A token bucket for log lines: `per_second` lines on average, `burst` at once.
//
// Bounds the cost of logging under overload, when each of thousands of requests
// a second writes a line: unbounded logging would take processor time from
// requests and fill the disks that store the logs.
class LogBudget {
 public:
  LogBudget(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Takes one token; false when there is none, and the line must be dropped.
  bool TryAcquire(TimePoint now) {
    if (now > refilled_at_) {
      tokens_ = std::min(burst_,
                         tokens_ + ToSeconds(now - refilled_at_) * per_second_);
      refilled_at_ = now;
    }
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double per_second_;
  double burst_;
  double tokens_;
  TimePoint refilled_at_{};
};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_LOG_BUDGET_H_
