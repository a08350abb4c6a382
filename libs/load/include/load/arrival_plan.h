#ifndef KNAPWEEDSTILE_LOAD_ARRIVAL_PLAN_H_
#define KNAPWEEDSTILE_LOAD_ARRIVAL_PLAN_H_

#include <vector>

#include "load/arrival.h"

namespace knapweedstile::load {

struct LoadMix;

// All arrivals of a run, in order of time. Open loop: they do not wait for each
// other's answers, so a slow fleet is not spared the load it falls behind on.
std::vector<Arrival> PlanArrivals(const LoadMix& mix);

// The body of a batch job of `items` items like the mix's completions, one JSON
// line each.
std::string PlanBatchBody(const LoadMix& mix, uint32_t items,
                          uint32_t max_tokens, uint64_t seed);

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_ARRIVAL_PLAN_H_
