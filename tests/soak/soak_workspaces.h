#ifndef KNAPWEEDSTILE_SOAK_SOAK_WORKSPACES_H_
#define KNAPWEEDSTILE_SOAK_SOAK_WORKSPACES_H_

#include <chrono>
#include <map>
#include <string>

namespace knapweedstile::soak {

// Workspace names by API key.
using KeyOwners = std::map<std::string, std::string>;

// A workspace without a rate limit, which sends most requests, and one that
// always exceeds its rate.
inline constexpr char kUsualWorkspace[] = "w-usual";
inline constexpr char kHotWorkspace[] = "w-hot";
// Permanent keys. Changing keys have a number instead of a name.
inline constexpr char kUsualKey[] = "key-usual";
inline constexpr char kHotKey[] = "key-hot";
// Never belongs to a workspace.
inline constexpr char kWrongKey[] = "key-wrong";
// Occurs in each key and nowhere else.
inline constexpr char kKeyPrefix[] = "key-";

// The hot workspace's rate limit, and the overage that is tolerated.
inline constexpr double kHotRate = 2;
inline constexpr double kHotBurst = 2;
inline constexpr std::chrono::seconds kRateWindow{5};
inline constexpr double kRateOverage = 0.1;
inline constexpr double kRateSlack = 20;
inline constexpr int kHotRequestsPerSecond = 15;

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_SOAK_WORKSPACES_H_
