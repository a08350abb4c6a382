#ifndef KNAPWEEDSTILE_SERVING_SERVICE_CHOICE_H_
#define KNAPWEEDSTILE_SERVING_SERVICE_CHOICE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "base/rng.h"
#include "serving/service_share.h"

namespace knapweedstile::serving {

// Chooses one of a route's services at random by weight, among those that are
// usable; null if there is none. A service without weight is not chosen, unless
// none of them has any.
template <std::predicate<const std::string&> Usable>
const ServiceShare* ChooseService(const std::vector<ServiceShare>& services,
                                  Rng& rng, const Usable& is_usable) {
  const ServiceShare* chosen = nullptr;
  const ServiceShare* first_usable = nullptr;
  bool weighted = false;
  uint64_t sum = 0;
  for (const ServiceShare& share : services) {
    weighted = weighted || share.weight > 0;
    if (!is_usable(share.service)) continue;
    if (!first_usable) first_usable = &share;
    if (share.weight == 0) continue;
    sum += share.weight;
    // Each service replaces the choice with the probability of its weight in
    // the sum so far.
    if (UniformBelow(rng, sum) < share.weight) chosen = &share;
  }
  return weighted ? chosen : first_usable;
}

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVICE_CHOICE_H_
