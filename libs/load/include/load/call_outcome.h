#ifndef KNAPWEEDSTILE_LOAD_CALL_OUTCOME_H_
#define KNAPWEEDSTILE_LOAD_CALL_OUTCOME_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"

namespace knapweedstile::load {

enum class CallResult {
  kComplete,      // complete response with the expected text
  kInvalid,       // incomplete, or the response to another request
  kRejected,      // error response that says "not run"
  kError,         // any other error response
  kNoResponse,    // no response
  kDisconnected,  // the caller disconnected, as planned
};

// Result of one request. Times count from the planned arrival, not from when
// the request was sent, so that a load generator that falls behind does not
// hide latency (coordinated omission).
struct CallOutcome {
  uint32_t arrival = 0;  // index in the plan
  CallResult result = CallResult::kNoResponse;
  unsigned status = 0;
  std::string error_code;  // of an error response
  Duration planned_at{};
  bool streamed = false;
  Duration first_token_after{};  // end of the response if not streamed
  Duration ended_after{};
  uint32_t tokens = 0;
};

}  // namespace knapweedstile::load

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 6> kEnumNames<load::CallResult> =
    {"whole", "wrong", "refused", "error", "lost", "left"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_LOAD_CALL_OUTCOME_H_
