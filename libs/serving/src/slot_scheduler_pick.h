#ifndef KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_PICK_H_
#define KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_PICK_H_

#include "serving/slot_scheduler.h"

namespace knapweedstile::serving {

template <typename Weight>
SlotScheduler::Server* SlotScheduler::PickWeighted(std::string_view service,
                                                   const ServerFilter& filter,
                                                   TimePoint now,
                                                   Weight weight) {
  Server* picked = nullptr;
  double sum = 0;
  for (auto& [id, server] : servers_) {
    if (!Usable(server, service, filter) || server.backoff_until > now) {
      continue;
    }
    const double server_weight = weight(server);
    if (server_weight <= 0) continue;
    sum += server_weight;
    // Weighted reservoir sampling: each server replaces the choice with the
    // probability of its weight in the sum so far, which takes one pass.
    if (UniformUnit(rng_) * sum < server_weight) picked = &server;
  }
  return picked;
}

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SLOT_SCHEDULER_PICK_H_
