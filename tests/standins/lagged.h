#ifndef KNAPWEEDSTILE_STANDINS_LAGGED_H_
#define KNAPWEEDSTILE_STANDINS_LAGGED_H_

#include <deque>
#include <utility>

#include "base/time.h"

namespace knapweedstile::standins {

// A value whose readers see it as it was some time ago.
template <typename T>
class Lagged {
 public:
  explicit Lagged(Duration lag) : lag_(lag) {}

  void Set(TimePoint now, T value) {
    changes_.emplace_back(now, std::move(value));
    Forget(now);
  }
  // The newest value, for who makes the changes.
  const T& latest() const noexcept { return changes_.back().second; }
  const T& SeenAt(TimePoint now) {
    Forget(now);
    return changes_.front().second;
  }

 private:
  // Keeps the newest change that readers already see and all later ones.
  void Forget(TimePoint now) {
    while (changes_.size() > 1 && changes_[1].first + lag_ <= now) {
      changes_.pop_front();
    }
  }

  Duration lag_;
  std::deque<std::pair<TimePoint, T>> changes_{{TimePoint::min(), T{}}};
};

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_LAGGED_H_
