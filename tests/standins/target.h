#ifndef KNAPWEEDSTILE_STANDINS_TARGET_H_
#define KNAPWEEDSTILE_STANDINS_TARGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::standins {

// A request's target taken apart, percent-decoded.
struct Target {
  std::string path;                   // as sent, without the query
  std::vector<std::string> segments;  // of the path
  std::map<std::string, std::string> query;

  bool Is(std::string_view wanted) const noexcept { return path == wanted; }
  // The number under `key` in the query, or `absent`.
  uint64_t NumberOr(const std::string& key, uint64_t absent) const;
  std::string TextOr(const std::string& key,
                     const std::string& absent = {}) const;
};

Target ParseTarget(std::string_view text);

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_TARGET_H_
