#ifndef KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_INDEX_H_
#define KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_INDEX_H_

#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedstile::gateway {

// Markers of the large results in the store, by job: names of the records
// "large.JOB.HASH.COUNT". Parts exist only if their marker does.
class LargeResultIndex {
 public:
  void Add(const std::string& job, const std::string& marker);
  void Remove(const std::string& job, const std::string& marker);
  // Removes the job and returns the names of the records to delete: all parts
  // that its markers name, then the markers.
  std::vector<std::string> Take(const std::string& job);
  const std::map<std::string, std::set<std::string>>& jobs() const noexcept {
    return markers_;
  }

 private:
  std::map<std::string, std::set<std::string>> markers_;  // by job
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_LARGE_RESULT_INDEX_H_
