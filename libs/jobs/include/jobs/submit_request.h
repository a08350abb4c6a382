#ifndef KNAPWEEDSTILE_JOBS_SUBMIT_REQUEST_H_
#define KNAPWEEDSTILE_JOBS_SUBMIT_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace knapweedstile::jobs {

// A caller's `POST /v1/batches`.
struct SubmitRequest {
  std::string workspace;
  std::string key;         // Idempotency-Key; the shell makes one when absent
  std::string body;        // JSON lines
  int64_t created_ms = 0;  // wall clock, since the Unix epoch
  int64_t due_ms = 0;      // the same; zero: none
  TimePoint deadline;      // for the answer to the caller
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_SUBMIT_REQUEST_H_
