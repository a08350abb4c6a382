#ifndef KNAPWEEDSTILE_SOAK_SOAK_WORKSPACES_H_
#define KNAPWEEDSTILE_SOAK_SOAK_WORKSPACES_H_

#include <chrono>
#include <map>
#include <string>

namespace knapweedstile::soak {

// Keys and the workspaces that they belong to.
using KeyOwners = std::map<std::string, std::string>;

// One workspace without a rate, which does the usual work, and one that always
// sends more than its rate.
inline constexpr char kUsualWorkspace[] = "w-usual";
inline constexpr char kHotWorkspace[] = "w-hot";
// Keys that last; those that come and go are made by number.
inline constexpr char kUsualKey[] = "key-usual";
inline constexpr char kHotKey[] = "key-hot";
// Of no workspace, ever.
inline constexpr char kWrongKey[] = "key-wrong";
// Stands in each key, and nowhere else.
inline constexpr char kKeyMark[] = "key-";

// The hot workspace's rate, and what it may be exceeded by.
inline constexpr double kHotRate = 2;
inline constexpr double kHotBurst = 2;
inline constexpr std::chrono::seconds kRateWindow{5};
inline constexpr double kRateOverage = 0.1;
inline constexpr double kRateSlack = 20;
inline constexpr int kHotRequestsPerSecond = 15;

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_SOAK_WORKSPACES_H_
