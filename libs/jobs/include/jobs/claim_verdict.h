#ifndef KNAPWEEDSTILE_JOBS_CLAIM_VERDICT_H_
#define KNAPWEEDSTILE_JOBS_CLAIM_VERDICT_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::jobs {

// What to do with one sending of a keyed call that must not run twice, and what
// its caller may be told.
enum class ClaimVerdict {
  // The claim is held by this sending: dispatch it, once.
  kDispatch,
  // An earlier sending was answered: replay its answer, with its status.
  kReplay,
  // An earlier sending was answered, but the body was too large to keep: 409,
  // it did run.
  kAnswerNotKept,
  // An earlier sending is running, or the process that ran it is gone, or its
  // outcome could not be learnt: 409, `"outcome":"unknown"`. Never "not run".
  kOutcomeUnknown,
  // The key belongs to another call: 422, this one did not run.
  kKeyReused,
  // The claim could not be made before the deadline: 503, `"not_run":true`;
  // nothing was dispatched, and this sending never will be.
  kNotRun,
};

}  // namespace knapweedstile::jobs

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 6>
    kEnumNames<jobs::ClaimVerdict> = {"dispatch",        "replay",
                                      "answer_not_kept", "outcome_unknown",
                                      "key_reused",      "not_run"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_JOBS_CLAIM_VERDICT_H_
