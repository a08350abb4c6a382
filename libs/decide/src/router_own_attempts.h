#ifndef KNAPWEEDSTILE_DECIDE_ROUTER_OWN_ATTEMPTS_H_
#define KNAPWEEDSTILE_DECIDE_ROUTER_OWN_ATTEMPTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"
#include "entry_invariant.h"

namespace knapweedstile::decide {

// This entry's attempts of one traffic class at one backend server, and how
// many of them a load report of a given time has counted.
//
// Load pattern: reports that lag by as long as a short request takes. Without
// it the entry counts its own requests twice (or not at all) when it reads a
// report, and works with a load that is off by its own traffic.
class RouterOwnAttempts {
 public:
  void Start(TimePoint now) { running_.push_back(now); }

  void End(TimePoint started, TimePoint now) {
    const auto found = std::find(running_.begin(), running_.end(), started);
    RequireInvariant(found != running_.end(), "an ended attempt was running");
    *found = running_.back();
    running_.pop_back();
    if (ended_.size() == kRememberedEnds) ended_.erase(ended_.begin());
    ended_.emplace_back(started, now);
  }

  // How many ran at the server at `measured_at`; earlier ends are forgotten.
  // A start reaches the server, and an end this entry, a network delay later:
  // without allowing for it each report that comes with an answer would count
  // that answer's request as running, and the others as one fewer.
  uint32_t RunningAt(TimePoint measured_at) {
    std::erase_if(ended_, [measured_at](const auto& attempt) {
      return attempt.second <= measured_at + kNetworkDelay;
    });
    const auto began = [measured_at](TimePoint started) {
      return started + kNetworkDelay <= measured_at;
    };
    const auto running = std::count_if(running_.begin(), running_.end(), began);
    const auto ended = std::count_if(
        ended_.begin(), ended_.end(),
        [&](const auto& attempt) { return began(attempt.first); });
    return static_cast<uint32_t>(running + ended);
  }

  uint32_t running() const noexcept {
    return static_cast<uint32_t>(running_.size());
  }

 private:
  // One way between availability zones, about 1.5 ms, and its handling.
  static constexpr Duration kNetworkDelay = std::chrono::milliseconds(2);
  // Ends kept for the next report; enough for one server's slots many times
  // over within the lag of a report.
  static constexpr size_t kRememberedEnds = 64;

  std::vector<TimePoint> running_;
  std::vector<std::pair<TimePoint, TimePoint>> ended_;  // start, end
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ROUTER_OWN_ATTEMPTS_H_
