#ifndef KNAPWEEDSTILE_OBJECTS_SERVICE_H_
#define KNAPWEEDSTILE_OBJECTS_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "objects/labels.h"
#include "objects/method_path.h"

namespace knapweedstile::objects {

// A plain service behind the system.
struct Service {
  std::string name;
  uint64_t version = 0;
  Labels labels;
  std::string path_prefix;
  std::vector<MethodPath> non_idempotent;
  std::vector<MethodPath> idempotent;
  std::chrono::milliseconds timeout{30000};
};

// Whether a call may be sent again. The longest matching prefix decides;
// equally long ones, the list `non_idempotent`. A call in neither list is not
// known to be safe, but for GET, HEAD and OPTIONS.
bool IsIdempotent(const Service& service, std::string_view method,
                  std::string_view path);

// `/a` covers `/a`, `/a/b` and `/a?x`, not `/ab`.
bool PathHasPrefix(std::string_view path, std::string_view prefix) noexcept;

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_SERVICE_H_
