#ifndef KNAPWEEDSTILE_JOBS_SUBMIT_RESULT_H_
#define KNAPWEEDSTILE_JOBS_SUBMIT_RESULT_H_

#include <array>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "jobs/job_id.h"
#include "jobs/job_record.h"

namespace knapweedstile::jobs {

enum class SubmitOutcome {
  kAccepted,     // durable now: 202
  kResent,       // durable since an earlier request, same body: 200
  kConflict,     // the key was used with another body: 409
  kInvalid,      // no items, too many, or refused by the platform: 400
  kUnavailable,  // the deadline passed; no job was written: 503, not run
  kUnknown,      // the deadline passed; the job may have been written: 503
};

struct SubmitResult {
  SubmitOutcome outcome = SubmitOutcome::kUnknown;
  JobId id;
  JobRecord record;     // kAccepted, kResent
  std::string message;  // for people
};

}  // namespace knapweedstile::jobs

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 6>
    kEnumNames<jobs::SubmitOutcome> = {"accepted", "resent",      "conflict",
                                       "invalid",  "unavailable", "unknown"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_JOBS_SUBMIT_RESULT_H_
