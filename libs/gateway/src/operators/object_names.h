#ifndef KNAPWEEDSTILE_GATEWAY_OBJECT_NAMES_H_
#define KNAPWEEDSTILE_GATEWAY_OBJECT_NAMES_H_

#include <string>
#include <string_view>

namespace knapweedstile::gateway {

// The operators' objects in the platform's store: all of one kind, so that one
// watch follows them, named KIND.NAME. Their values are as operators write them
// (docs/operators/knapctl.md).
inline constexpr char kOperatorObjectsKind[] = "knapweedstile-objects";

struct ObjectName {
  std::string kind;
  std::string name;
};

inline std::string StoredObjectName(std::string_view kind,
                                    std::string_view name) {
  return std::string(kind) + "." + std::string(name);
}

// Both parts are empty when it is not such a name.
inline ObjectName ParseObjectName(std::string_view stored) {
  const size_t dot = stored.find('.');
  if (dot == std::string_view::npos) return {};
  return {std::string(stored.substr(0, dot)),
          std::string(stored.substr(dot + 1))};
}

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_OBJECT_NAMES_H_
