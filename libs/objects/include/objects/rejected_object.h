#ifndef KNAPWEEDSTILE_OBJECTS_REJECTED_OBJECT_H_
#define KNAPWEEDSTILE_OBJECTS_REJECTED_OBJECT_H_

#include <cstdint>
#include <string>

namespace knapweedstile::objects {

// A rejected version of an object; an older version, or none, stays active.
struct RejectedObject {
  std::string id;  // kind/name
  uint64_t version = 0;
  uint64_t active_version = 0;  // zero: none
  std::string reason;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_REJECTED_OBJECT_H_
