#ifndef KNAPWEEDSTILE_DECIDE_REQUEST_INFO_H_
#define KNAPWEEDSTILE_DECIDE_REQUEST_INFO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "base/traffic_class.h"

namespace knapweedstile::decide {

// What the decisions need to know of a request; never its body.
struct RequestInfo {
  RequestId id;
  TrafficClass traffic_class = TrafficClass::kOnline;
  std::string workspace;
  uint32_t workspace_weight = 1;  // its share where workspaces compete
  std::string caller;  // empty when the workspace does not tell callers apart
  // Model name, or the service's name for plain services: requests go only to
  // backend servers that serve this target.
  std::string target;
  // Hashes of ever longer prefixes of the prompt, shortest first; empty for
  // plain services.
  std::vector<uint64_t> prefix_hashes;
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  TimePoint deadline = kNever;  // the answer's first token after this is late
  TimePoint due = kNever;       // batch only: when the whole job is due
  uint64_t fingerprint = 0;     // equal for equal requests, for quarantine
  bool idempotent = true;       // false: never sent again once it may have run
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_REQUEST_INFO_H_
