#ifndef KNAPWEEDSTILE_OBJECTS_METHOD_PATH_H_
#define KNAPWEEDSTILE_OBJECTS_METHOD_PATH_H_

#include <string>

namespace knapweedstile::objects {

// A sort of call of a plain service: `METHOD /path-prefix`.
struct MethodPath {
  std::string method;
  std::string path_prefix;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_METHOD_PATH_H_
