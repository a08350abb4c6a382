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
  kOverRate,     // by the counts of all gateways
  kStarting,     // counts from before the start of this fleet are missing
  kPartitioned,  // beyond the share of the gateways that reach each other
};

// The decision on one request and the figures that it is based on.
struct RateDecision {
  RateVerdict verdict = RateVerdict::kAdmitted;
  Duration retry_after{};             // kAdmitted: zero
  double limit = 0;                   // requests in the window
  double total_admitted = 0;          // in the window, by all gateways
  uint32_t own_admitted = 0;          // in the window, by this gateway
  uint32_t unreachable_gateways = 0;  // no reports in at least one direction
  Duration oldest_report_age{};       // of the reachable peers
};

}  // namespace knapweedstile::workspaces

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<workspaces::RateVerdict> = {"admitted", "over_rate", "starting",
                                           "split"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_DECISION_H_
