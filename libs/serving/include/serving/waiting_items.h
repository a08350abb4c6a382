#ifndef KNAPWEEDSTILE_SERVING_WAITING_ITEMS_H_
#define KNAPWEEDSTILE_SERVING_WAITING_ITEMS_H_

#include <cstddef>

namespace knapweedstile::serving {

// Numbers of items of open jobs that neither run nor have a result.
struct WaitingItems {
  size_t ready = 0;   // may be started
  size_t paused = 0;  // may be started later
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_WAITING_ITEMS_H_
