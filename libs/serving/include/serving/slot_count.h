#ifndef KNAPWEEDSTILE_SERVING_SLOT_COUNT_H_
#define KNAPWEEDSTILE_SERVING_SLOT_COUNT_H_

#include <cstdint>

namespace knapweedstile::serving {

// Slots of one service over all its usable servers.
struct SlotCount {
  uint32_t all = 0;
  uint32_t free = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SLOT_COUNT_H_
