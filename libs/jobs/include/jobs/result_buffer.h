#ifndef KNAPWEEDSTILE_JOBS_RESULT_BUFFER_H_
#define KNAPWEEDSTILE_JOBS_RESULT_BUFFER_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/time.h"

namespace knapweedstile::jobs {

// The result of one item, before it is committed.
struct ItemResult {
  std::string job;  // the id's hash
  uint32_t index = 0;
  bool failed = false;
  std::string line;
};

// Results that wait for the next commit, oldest first.
class ResultBuffer {
 public:
  void Add(ItemResult result, TimePoint now);
  // The oldest results up to these bounds, at least one when there is any.
  std::vector<ItemResult> TakeBatch(uint32_t max_items, size_t max_bytes,
                                    TimePoint now);
  void Clear();

  bool empty() const noexcept { return results_.empty(); }
  size_t size() const noexcept { return results_.size(); }
  size_t bytes() const noexcept { return bytes_; }
  // When the oldest came in; kNever when empty.
  TimePoint oldest() const noexcept { return empty() ? kNever : oldest_; }

 private:
  std::deque<ItemResult> results_;
  size_t bytes_ = 0;
  TimePoint oldest_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_RESULT_BUFFER_H_
