#ifndef KNAPWEEDSTILE_JOBS_CANCEL_OUTCOME_H_
#define KNAPWEEDSTILE_JOBS_CANCEL_OUTCOME_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::jobs {

enum class CancelOutcome {
  kCancelling,    // stored; its owner stops it: 202
  kAlreadyFinal,  // completed or cancelled before: 202, as nothing runs
  kNotFound,      // no such job: 404
  kUnavailable,   // not stored before the deadline: 503
  kUnknown,       // may have been stored before the deadline: 503
};

}  // namespace knapweedstile::jobs

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 5>
    kEnumNames<jobs::CancelOutcome> = {"cancelling", "already_final",
                                       "not_found", "unavailable", "unknown"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_JOBS_CANCEL_OUTCOME_H_
