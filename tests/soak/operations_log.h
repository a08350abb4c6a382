#ifndef KNAPWEEDSTILE_SOAK_OPERATIONS_LOG_H_
#define KNAPWEEDSTILE_SOAK_OPERATIONS_LOG_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "soak_workspaces.h"

namespace knapweedstile::soak {

// What operators did, with the moment at which the store had taken it.
struct OperationsLog {
  struct Configuration {
    TimePoint at{};
    std::set<std::string> extra_routes;
    KeyOwners keys;
  };
  struct Stop {
    std::string gateway;
    TimePoint asked_at{};
    TimePoint ended_at = kNever;
  };

  // Bound of the deployment: a version is in force so soon after it was taken.
  static constexpr std::chrono::milliseconds kApplyBound{2000};

  // Whether `holds` of each configuration that may be in force between the two
  // moments.
  template <typename Predicate>
  bool InEach(TimePoint from, TimePoint until, std::chrono::milliseconds slack,
              Predicate holds) const {
    for (size_t i = 0; i < configurations.size(); ++i) {
      const bool replaced =
          i + 1 < configurations.size() &&
          configurations[i + 1].at + kApplyBound + slack <= from;
      if (replaced || configurations[i].at > until) continue;
      if (!holds(configurations[i])) return false;
    }
    return true;
  }
  bool KeyInEach(const std::string& key, bool present, TimePoint from,
                 TimePoint until, std::chrono::milliseconds slack) const {
    return InEach(from, until, slack, [&](const Configuration& configuration) {
      return configuration.keys.contains(key) == present;
    });
  }
  // The workspace that has or had the key; empty: none ever.
  std::string OwnerOf(const std::string& key) const {
    for (const Configuration& configuration : configurations) {
      const auto owner = configuration.keys.find(key);
      if (owner != configuration.keys.end()) return owner->second;
    }
    return {};
  }

  std::vector<Configuration> configurations;
  std::vector<Stop> stops;
  // Instances that drain or are gone, since when.
  std::map<std::string, TimePoint> leaving;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_OPERATIONS_LOG_H_
