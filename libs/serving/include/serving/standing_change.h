#ifndef KNAPWEEDSTILE_SERVING_STANDING_CHANGE_H_
#define KNAPWEEDSTILE_SERVING_STANDING_CHANGE_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

enum class ServerStanding {
  kTrusted,
  kAvoided,      // gets no requests while there are other servers
  kOnProbation,  // gets a few requests at a time until some have succeeded
};

struct StandingChange {
  ServerProcessId process;
  ServerStanding standing = ServerStanding::kTrusted;
  double failure_share = 0;
};

}  // namespace knapweedstile::serving

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3>
    kEnumNames<serving::ServerStanding> = {"trusted", "avoided",
                                           "on_probation"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_SERVING_STANDING_CHANGE_H_
