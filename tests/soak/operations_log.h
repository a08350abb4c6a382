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

// Operator actions, with the time at which the store had accepted each.
struct OperationsLog {
  struct Configuration {
    TimePoint at{};
    std::set<std::string> extra_routes;
    KeyOwners keys;
  };
  struct Stop {
    std::string gateway;
    TimePoint requested_at{};
    TimePoint ended_at = kNever;
  };

  // The deployment promises that a configuration version is in force within
  // this time after it was written.
  static constexpr std::chrono::milliseconds kApplyBound{2000};

  // Whether `holds` returns true for each configuration that may be in force
  // between `from` and `until`.
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
  // The workspace that has or had the key; empty if no workspace ever had it.
  std::string OwnerOf(const std::string& key) const {
    for (const Configuration& configuration : configurations) {
      const auto owner = configuration.keys.find(key);
      if (owner != configuration.keys.end()) return owner->second;
    }
    return {};
  }

  std::vector<Configuration> configurations;
  std::vector<Stop> stops;
  // When each draining or removed server instance began to leave.
  std::map<std::string, TimePoint> leaving;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_OPERATIONS_LOG_H_
