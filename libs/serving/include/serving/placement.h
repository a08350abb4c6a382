#ifndef KNAPWEEDSTILE_SERVING_PLACEMENT_H_
#define KNAPWEEDSTILE_SERVING_PLACEMENT_H_

#include <array>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/id.h"
#include "base/time.h"

namespace knapweedstile::serving {

enum class PlacementOutcome {
  kPlaced,     // on a backend server with a free slot, or a short queue
  kNoServer,   // none is registered, usable and allowed
  kSaturated,  // every queue is longer than the latency objective allows
};

// Backend server for one online request.
struct Placement {
  PlacementOutcome outcome = PlacementOutcome::kNoServer;
  BackendServerId server;
  // True: a batch item on `server` must be preempted. It belongs to the gateway
  // `preempted_peer`, or to this one when that is empty.
  bool preempts_batch = false;
  std::string preempted_peer;
  Duration retry_after{};  // kSaturated, kNoServer: time until a retry
};

}  // namespace knapweedstile::serving

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3>
    kEnumNames<serving::PlacementOutcome> = {"placed", "no_server",
                                             "saturated"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_SERVING_PLACEMENT_H_
