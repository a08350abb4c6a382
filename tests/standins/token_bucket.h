#ifndef KNAPWEEDSTILE_STANDINS_TOKEN_BUCKET_H_
#define KNAPWEEDSTILE_STANDINS_TOKEN_BUCKET_H_

#include <algorithm>

#include "base/time.h"

namespace knapweedstile::standins {

// A rate limit that allows a burst of one second's worth. A rate of zero does
// not limit.
class TokenBucket {
 public:
  explicit TokenBucket(double per_second) { SetRate(per_second); }

  void SetRate(double per_second) {
    rate_ = per_second;
    level_ = std::max(1.0, per_second);
  }
  bool Take(TimePoint now) {
    if (rate_ <= 0) return true;
    level_ = std::min(std::max(1.0, rate_),
                      level_ + rate_ * ToSeconds(now - filled_at_));
    filled_at_ = now;
    if (level_ < 1) return false;
    level_ -= 1;
    return true;
  }

 private:
  double rate_ = 0;
  double level_ = 0;
  TimePoint filled_at_{};
};

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_TOKEN_BUCKET_H_
