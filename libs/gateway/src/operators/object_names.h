#ifndef KNAPWEEDSTILE_GATEWAY_OBJECT_NAMES_H_
#define KNAPWEEDSTILE_GATEWAY_OBJECT_NAMES_H_

#include <string>
#include <string_view>

namespace knapweedstile::gateway {

// Store kind of all operator objects. They share one kind, so that one watch
// covers them, and are named KIND.NAME. Their values are stored as the
// operators write them (docs/operators/knapctl.md).
inline constexpr char kOperatorObjectsKind[] = "knapweedstile-objects";

struct ObjectName {
  std::string kind;
  std::string name;
};

inline std::string StoredObjectName(std::string_view kind,
                                    std::string_view name) {
  return std::string(kind) + "." + std::string(name);
}

// Splits KIND.NAME; both parts are empty if `stored` has no dot.
inline ObjectName ParseObjectName(std::string_view stored) {
  const size_t dot = stored.find('.');
  if (dot == std::string_view::npos) return {};
  return {std::string(stored.substr(0, dot)),
          std::string(stored.substr(dot + 1))};
}

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_OBJECT_NAMES_H_
