#ifndef KNAPWEEDSTILE_OBJECTS_APPLY_RESULT_H_
#define KNAPWEEDSTILE_OBJECTS_APPLY_RESULT_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"
#include "objects/field_error.h"

namespace knapweedstile::objects {

enum class ApplyOutcome {
  kAccepted,  // active now
  kStale,     // not newer than the latest version; no change
  kInvalid,   // rejected; the last valid version stays active
  kIgnored,   // not a kind that operators edit
};

struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kIgnored;
  FieldErrors errors;  // kInvalid
};

}  // namespace knapweedstile::objects

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<objects::ApplyOutcome> = {"accepted", "stale", "invalid",
                                         "ignored"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_OBJECTS_APPLY_RESULT_H_
