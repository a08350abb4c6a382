#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_DECISION_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_DECISION_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"

namespace knapweedstile::workspaces {

enum class RateVerdict {
  kAdmitted,
  kOverRate,  // by what is known of all entries
  kStarting,  // what was admitted before this fleet's start is not known
  kSplit,     // beyond the part of the entries that hear each other
};

// The answer to one request, with what it was decided by.
struct RateDecision {
  RateVerdict verdict = RateVerdict::kAdmitted;
  Duration retry_after{};     // kAdmitted: zero
  double limit = 0;           // requests in the window
  double total_admitted = 0;  // admitted in it by all entries, as known here
  uint32_t own_admitted = 0;  // by this one
  uint32_t unreachable_gateways =
      0;                         // entries that are not heard, or do not hear
  Duration oldest_report_age{};  // age of the oldest report counted as heard
};

}  // namespace knapweedstile::workspaces

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<workspaces::RateVerdict> = {"admitted", "over_rate", "starting",
                                           "split"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_DECISION_H_
