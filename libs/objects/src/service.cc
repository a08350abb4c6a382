#include "objects/service.h"

#include <algorithm>
#include <array>

namespace knapweedstile::objects {

namespace {

constexpr std::array<std::string_view, 3> kSafeMethods = {"GET", "HEAD",
                                                          "OPTIONS"};

// Length of the longest matching prefix, or -1.
int LongestMatch(const std::vector<MethodPath>& calls, std::string_view method,
                 std::string_view path) {
  int longest = -1;
  for (const MethodPath& call : calls) {
    if (call.method != method) continue;
    if (!PathHasPrefix(path, call.path_prefix)) continue;
    longest = std::max(longest, static_cast<int>(call.path_prefix.size()));
  }
  return longest;
}

}  // namespace

bool PathHasPrefix(std::string_view path, std::string_view prefix) noexcept {
  if (!path.starts_with(prefix)) return false;
  if (path.size() == prefix.size() || prefix.ends_with('/')) return true;
  const char next = path[prefix.size()];
  return next == '/' || next == '?';
}

bool IsIdempotent(const Service& service, std::string_view method,
                  std::string_view path) {
  const int unsafe = LongestMatch(service.non_idempotent, method, path);
  const int safe = LongestMatch(service.idempotent, method, path);
  if (unsafe >= 0 || safe >= 0) return safe > unsafe;
  return std::find(kSafeMethods.begin(), kSafeMethods.end(), method) !=
         kSafeMethods.end();
}

}  // namespace knapweedstile::objects
