#ifndef KNAPWEEDSTILE_LOAD_ARRIVAL_PLAN_H_
#define KNAPWEEDSTILE_LOAD_ARRIVAL_PLAN_H_

#include <vector>

#include "load/arrival.h"

namespace knapweedstile::load {

struct LoadMix;

// Plans all arrivals of a run, sorted by time. Open loop: arrivals do not wait
// for earlier responses, so a slow fleet does not lower the load on itself.
std::vector<Arrival> PlanArrivals(const LoadMix& mix);

// Returns the body of a batch job: `items` completions of the mix, one JSON
// line each.
std::string PlanBatchBody(const LoadMix& mix, uint32_t items,
                          uint32_t max_tokens, uint64_t seed);

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_ARRIVAL_PLAN_H_
