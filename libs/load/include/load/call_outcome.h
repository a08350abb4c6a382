#ifndef KNAPWEEDSTILE_LOAD_CALL_OUTCOME_H_
#define KNAPWEEDSTILE_LOAD_CALL_OUTCOME_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"

namespace knapweedstile::load {

enum class CallEnd {
  kWhole,    // the whole answer, and the right one
  kWrong,    // an answer that is not this request's own, or not whole
  kRefused,  // an error that says "not run"
  kError,    // any other error answer
  kLost,     // no answer
  kLeft,     // the caller went away, as planned
};

// What the caller of one arrival received. Times count from the moment at which
// the arrival was planned, not from when it was sent: a load generator that
// falls behind must not hide that (coordinated omission).
struct CallOutcome {
  uint32_t arrival = 0;  // index in the plan
  CallEnd end = CallEnd::kLost;
  unsigned status = 0;
  std::string code;  // of an error answer
  Duration planned_at{};
  bool streamed = false;
  Duration first_token_after{};  // the whole answer when not streamed
  Duration ended_after{};
  uint32_t tokens = 0;
};

}  // namespace knapweedstile::load

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 6> kEnumNames<load::CallEnd> = {
    "whole", "wrong", "refused", "error", "lost", "left"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_LOAD_CALL_OUTCOME_H_
