#ifndef KNAPWEEDSTILE_DECIDE_ATTEMPT_OUTCOME_H_
#define KNAPWEEDSTILE_DECIDE_ATTEMPT_OUTCOME_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::decide {

// How one attempt at one backend server ended. Only kNotSent and kRefused are a
// true "not run"; after kUnknown the request may have run.
enum class AttemptOutcome {
  kDone,     // the whole answer arrived (also an error answer of the server)
  kNotSent,  // no byte of the request left this process
  kRefused,  // the sidecar refused before its backend server saw it
  kYielded,  // a batch stream was cancelled to make room; may be resumed
  kUnknown,  // the connection or the backend server was lost after sending
  kCrashed,  // the backend server went down while it ran this request
  kTimeout,  // the deadline passed while it ran
};

}  // namespace knapweedstile::decide

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 7>
    kEnumNames<decide::AttemptOutcome> = {"done",    "not_sent", "refused",
                                          "yielded", "unknown",  "crashed",
                                          "timeout"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_DECIDE_ATTEMPT_OUTCOME_H_
