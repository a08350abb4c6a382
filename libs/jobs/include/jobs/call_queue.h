#ifndef KNAPWEEDSTILE_JOBS_CALL_QUEUE_H_
#define KNAPWEEDSTILE_JOBS_CALL_QUEUE_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"
#include "platform/store_request.h"

namespace knapweedstile::jobs {

// Calls to the platform that a module wants made. Tokens are unique within one
// queue; the shell that serves several modules maps them to its own.
class CallQueue {
 public:
  // The token under which the answer comes back.
  uint64_t Add(platform::StoreCall call, TimePoint deadline) {
    calls_.push_back({++last_token_, std::move(call), deadline});
    return last_token_;
  }
  std::vector<platform::StoreRequest> Take() {
    return std::exchange(calls_, {});
  }

 private:
  std::vector<platform::StoreRequest> calls_;
  uint64_t last_token_ = 0;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_CALL_QUEUE_H_
