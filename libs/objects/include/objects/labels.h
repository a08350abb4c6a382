#ifndef KNAPWEEDSTILE_OBJECTS_LABELS_H_
#define KNAPWEEDSTILE_OBJECTS_LABELS_H_

#include <map>
#include <string>

namespace knapweedstile::objects {

using Labels = std::map<std::string, std::string, std::less<>>;

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_LABELS_H_
