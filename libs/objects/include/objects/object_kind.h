#ifndef KNAPWEEDSTILE_OBJECTS_OBJECT_KIND_H_
#define KNAPWEEDSTILE_OBJECTS_OBJECT_KIND_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::objects {

// The kinds that operators edit.
enum class ObjectKind { kPolicy, kPlacement, kEngine, kWorkspace };

}  // namespace knapweedstile::objects

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<objects::ObjectKind> = {"policy", "placement", "engine",
                                       "workspace"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_OBJECTS_OBJECT_KIND_H_
