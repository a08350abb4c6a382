#ifndef KNAPWEEDSTILE_SOAK_FINDINGS_H_
#define KNAPWEEDSTILE_SOAK_FINDINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::soak {

// Descriptions of broken promises, and the number of checks of each promise.
class Findings {
 public:
  // Records one check of `promise`; `what` describes a violation.
  void Check(std::string_view promise, bool kept, const std::string& what) {
    ++check_counts_[std::string(promise)];
    if (!kept) broken_.push_back(std::string(promise) + ": " + what);
  }
  const std::vector<std::string>& broken() const noexcept { return broken_; }
  const std::map<std::string, int>& check_counts() const noexcept {
    return check_counts_;
  }

 private:
  std::map<std::string, int> check_counts_;
  std::vector<std::string> broken_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_FINDINGS_H_
