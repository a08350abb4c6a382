#ifndef KNAPWEEDSTILE_DECIDE_REFUSAL_H_
#define KNAPWEEDSTILE_DECIDE_REFUSAL_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"
#include "base/time.h"

namespace knapweedstile::decide {

// Why a request got its final answer without running. Each is a true "not run".
enum class RefusalReason {
  kQueueFull,         // the bound of the queue is reached
  kFairShare,         // this caller or workspace has used up its own bound
  kDeadline,          // cannot be answered in time
  kNoBackendServer,   // none is in for the model or service
  kQuarantined,       // the request has crashed backend servers
  kDraining,          // this process is leaving
  kRetriesExhausted,  // every attempt was refused, and the budget is spent
};

// When and why: `come_back_at` follows from the backlog and is spread, so that
// refused clients do not return together.
struct Refusal {
  RefusalReason reason = RefusalReason::kQueueFull;
  TimePoint come_back_at;
};

}  // namespace knapweedstile::decide

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 7>
    kEnumNames<decide::RefusalReason> = {
        "queue_full",  "fair_share", "deadline",         "no_backend_server",
        "quarantined", "draining",   "retries_exhausted"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_DECIDE_REFUSAL_H_
