#ifndef KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_PICK_H_
#define KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_PICK_H_

#include "serving/slot_scheduler.h"

namespace knapweedstile::serving {

template <typename Weight>
SlotScheduler::Server* SlotScheduler::PickWeighted(
    std::string_view service, std::span<const BackendServerId> excluded,
    TimePoint now, Weight weight) {
  Server* drawn = nullptr;
  double sum = 0;
  for (auto& [id, server] : servers_) {
    if (!Usable(server, service, excluded) || server.backoff_until > now) {
      continue;
    }
    const double share = weight(server);
    if (share <= 0) continue;
    sum += share;
    // Replaced with the chance of its share in the sum so far: a draw in one
    // pass.
    if (UniformUnit(rng_) * sum < share) drawn = &server;
  }
  return drawn;
}

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_PICK_H_
