#ifndef KNAPWEEDSTILE_JOBS_CLAIM_REQUEST_H_
#define KNAPWEEDSTILE_JOBS_CLAIM_REQUEST_H_

#include <string>

#include "base/time.h"

namespace knapweedstile::jobs {

// One sending of a call with an Idempotency-Key that must not run twice.
struct ClaimRequest {
  std::string workspace;
  std::string key;
  std::string request_hash;  // WideHash() of method, path and body
  std::string writer;        // unique to this sending over all processes
  TimePoint deadline;        // for the claim to be made
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_CLAIM_REQUEST_H_
