#ifndef KNAPWEEDSTILE_OBJECTS_PLACEMENT_H_
#define KNAPWEEDSTILE_OBJECTS_PLACEMENT_H_

#include <cstdint>
#include <string>

#include "objects/labels.h"
#include "objects/selector.h"

namespace knapweedstile::objects {

// How many replicas of a model run on which engines.
struct Placement {
  std::string name;
  uint64_t version = 0;
  Labels labels;
  std::string model;
  Selector engines;
  uint32_t replicas = 1;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_PLACEMENT_H_
