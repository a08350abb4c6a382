#ifndef KNAPWEEDSTILE_SERVING_PATIENCE_H_
#define KNAPWEEDSTILE_SERVING_PATIENCE_H_

#include <algorithm>
#include <map>
#include <string>

#include "base/time.h"

namespace knapweedstile::serving {

// How long the callers of each route wait, as observed: a caller that has
// clearly less time than the others was turned away before, here or at another
// entry, and will not come again.
class Patience {
 public:
  // True when the caller has less than kShare of the time that others have.
  bool IsShort(const std::string& route, Duration left) {
    Duration& longest = longest_[route];
    longest = std::max(left, FromSeconds(ToSeconds(longest) * kFade));
    return left < FromSeconds(ToSeconds(longest) * kShare);
  }

 private:
  // Who was told to come back after a sixth of its time has 0.83 of it left.
  static constexpr double kShare = 0.9;
  // A single caller with an odd deadline is forgotten within some hundred
  // requests, seconds at the usual rates.
  static constexpr double kFade = 0.999;

  std::map<std::string, Duration> longest_;  // by route
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_PATIENCE_H_
