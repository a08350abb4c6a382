#ifndef KNAPWEEDSTILE_OBJECTS_ENGINE_H_
#define KNAPWEEDSTILE_OBJECTS_ENGINE_H_

#include <cstdint>
#include <string>

#include "objects/labels.h"

namespace knapweedstile::objects {

// A model engine, on one VM.
struct Engine {
  std::string name;
  uint64_t version = 0;
  Labels labels;
  std::string vm;
  std::string model;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_ENGINE_H_
