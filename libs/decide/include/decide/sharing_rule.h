#ifndef KNAPWEEDSTILE_DECIDE_SHARING_RULE_H_
#define KNAPWEEDSTILE_DECIDE_SHARING_RULE_H_

#include <concepts>
#include <cstdint>
#include <variant>

#include "decide/sharing_policy.h"

namespace knapweedstile::decide {

// How many online requests were in the gate at once, running and waiting, over
// the recent past.
struct OnlineDemand {
  uint32_t now = 0;
  double mean = 0;
  double deviation = 0;
};

// What a sharing rule allows batch at this moment.
struct BatchLimit {
  uint32_t start = 0;  // no batch stream is started at or above this many
  uint32_t keep = 0;   // streams beyond this many are parked
};

// A way of sharing a backend server between online and batch. Rules hold
// parameters only: the history is the gate's, so a rule that comes into force
// while requests run knows the recent past at once.
//
// Every rule is applied below the same law: online goes first, and a batch
// stream is parked when an online request would otherwise wait.
template <typename R>
concept SharingRule = std::copyable<R> &&
    requires(const R& rule, uint32_t slots, const OnlineDemand& demand) {
  { rule.Limit(slots, demand) } -> std::same_as<BatchLimit>;
};

// A fixed share of the slots for batch, never more. Answers: operators who want
// a bound that they can reckon with. Cost: idle capacity beyond it is lost.
struct StaticShareRule {
  uint32_t share_permille = 0;

  BatchLimit Limit(uint32_t slots, const OnlineDemand& demand) const;
};

// Batch takes all idle slots. Answers: idle capacity that lasts seconds. Cost:
// nearly each online arrival finds the slots full and waits for a cancellation.
struct PriorityCancelRule {
  BatchLimit Limit(uint32_t slots, const OnlineDemand& demand) const;
};

// Batch leaves free what recent online demand makes likely: its mean and some
// standard deviations. Answers: bursts that would each wait for cancellations.
// The reserve only holds back starts, since parking for a guess costs work.
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
