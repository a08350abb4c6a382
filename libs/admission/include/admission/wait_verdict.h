#ifndef KNAPWEEDSTILE_ADMISSION_WAIT_VERDICT_H_
#define KNAPWEEDSTILE_ADMISSION_WAIT_VERDICT_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::admission {

// Whether a request waits, and why not.
enum class WaitVerdict {
  kWaits,
  kTooLong,      // the slots ahead do not become free in time
  kOverload,     // so many come that waiting only changes who is served
  kNoRate,       // none became free lately, or too little was observed
  kQueueFull,    // the bound of the queue
  kBeyondShare,  // requests within their share wait
};

}  // namespace knapweedstile::admission

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 6>
    kEnumNames<admission::WaitVerdict> = {"waits",      "too_long",
                                          "overload",   "no_rate",
                                          "queue_full", "beyond_share"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_ADMISSION_WAIT_VERDICT_H_
