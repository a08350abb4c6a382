#ifndef KNAPWEEDSTILE_SERVING_ITEM_REF_H_
#define KNAPWEEDSTILE_SERVING_ITEM_REF_H_

#include <cstdint>
#include <string>

namespace knapweedstile::serving {

// One item of one job.
struct ItemRef {
  std::string job;
  uint32_t index = 0;

  bool operator==(const ItemRef&) const = default;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_ITEM_REF_H_
