#ifndef KNAPWEEDSTILE_DECIDE_PLACEMENT_SPEC_H_
#define KNAPWEEDSTILE_DECIDE_PLACEMENT_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedstile::decide {

// One placement object: a model (or adapter) and where copies of it may be. The
// shell resolves the object's selector to names of engines.
struct PlacementSpec {
  std::string model;
  std::vector<std::string> engines;
  uint32_t replicas = 1;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_PLACEMENT_SPEC_H_
