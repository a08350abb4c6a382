#ifndef KNAPWEEDSTILE_JOBS_LANE_FILTER_H_
#define KNAPWEEDSTILE_JOBS_LANE_FILTER_H_

#include <map>

#include "jobs/lane.h"

namespace knapweedstile::jobs {

// Asks once for each lane; for the length of one choice.
class LaneFilter {
 public:
  // An empty question finds room everywhere.
  explicit LaneFilter(const LaneHasRoom& has_room) : has_room_(has_room) {}

  bool HasRoom(const Lane& lane) {
    if (!has_room_) return true;
    const auto known = known_.find(lane);
    if (known != known_.end()) return known->second;
    return known_[lane] = has_room_(lane);
  }

 private:
  const LaneHasRoom& has_room_;
  std::map<Lane, bool> known_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_LANE_FILTER_H_
