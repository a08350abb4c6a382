#ifndef KNAPWEEDSTILE_DECIDE_SHARING_RULE_H_
#define KNAPWEEDSTILE_DECIDE_SHARING_RULE_H_

#include <concepts>
#include <cstdint>
#include <variant>

#include "decide/sharing_policy.h"

namespace knapweedstile::decide {

// Online requests in the gate at once, running and waiting: now, and mean and
// standard deviation over the recent past.
struct OnlineDemand {
  uint32_t now = 0;
  double mean = 0;
  double deviation = 0;
};

// Limits for batch on one backend server.
struct BatchLimit {
  uint32_t start = 0;  // no stream starts at or above this count
  uint32_t keep = 0;   // streams beyond this count are parked
};

// A rule for sharing a backend server between online and batch requests. Rules
// hold parameters only. The gate keeps the demand history, so that a rule that
// is applied while requests run has the recent past at once.
//
// Under every rule online requests have priority: a batch stream is parked when
// an online request would otherwise wait.
template <typename R>
concept SharingRule = std::copyable<R> &&
    requires(const R& rule, uint32_t slots, const OnlineDemand& demand) {
  { rule.Limit(slots, demand) } -> std::same_as<BatchLimit>;
};

// A fixed share of the slots for batch. For operators who need a predictable
// bound, at the cost of idle capacity beyond it.
struct StaticShareRule {
  uint32_t share_permille = 0;

  BatchLimit Limit(uint32_t slots, const OnlineDemand& demand) const;
};

// Batch takes all idle slots. Uses idle capacity that lasts only seconds, at
// the cost that nearly each online request finds the slots full and waits for a
// cancellation.
struct PriorityCancelRule {
  BatchLimit Limit(uint32_t slots, const OnlineDemand& demand) const;
};

// Batch leaves free what recent online demand makes likely: its mean plus some
// standard deviations. For bursts of online requests that would each wait for a
// cancellation. The reserve only delays starts of batch streams, since parking
// a stream on a forecast wastes work.
struct ArrivalReserveRule {
  double sigmas = 0;

  BatchLimit Limit(uint32_t slots, const OnlineDemand& demand) const;
};

static_assert(SharingRule<StaticShareRule>);
static_assert(SharingRule<PriorityCancelRule>);
static_assert(SharingRule<ArrivalReserveRule>);

using AnySharingRule =
    std::variant<StaticShareRule, PriorityCancelRule, ArrivalReserveRule>;

AnySharingRule MakeSharingRule(const SharingPolicy& policy);

BatchLimit LimitOf(const AnySharingRule& rule, uint32_t slots,
                   const OnlineDemand& demand);

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SHARING_RULE_H_
