#ifndef KNAPWEEDSTILE_JOBS_LANE_H_
#define KNAPWEEDSTILE_JOBS_LANE_H_

#include <functional>
#include <string>
#include <tuple>

namespace knapweedstile::jobs {

// What decides which backend servers an item can go to: items of one lane find
// room, or none, together.
struct Lane {
  std::string workspace;
  std::string model;

  friend bool operator<(const Lane& a, const Lane& b) {
    return std::tie(a.workspace, a.model) < std::tie(b.workspace, b.model);
  }
};

// Whether an item of the lane could be sent now.
using LaneHasRoom = std::function<bool(const Lane&)>;

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_LANE_H_
