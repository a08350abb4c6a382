#ifndef KNAPWEEDSTILE_OBJECTS_REFUSED_OBJECT_H_
#define KNAPWEEDSTILE_OBJECTS_REFUSED_OBJECT_H_

#include <cstdint>
#include <string>

namespace knapweedstile::objects {

// A version that was refused while an older one, or none, stays in force.
struct RefusedObject {
  std::string id;  // kind/name
  uint64_t version = 0;
  uint64_t version_in_force = 0;  // zero: none
  std::string reason;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_REFUSED_OBJECT_H_
