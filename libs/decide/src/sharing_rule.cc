#include "decide/sharing_rule.h"

#include <algorithm>
#include <cmath>

namespace knapweedstile::decide {
namespace {

constexpr uint32_t kPermille = 1000;
constexpr double kPercent = 100.0;

}  // namespace

BatchLimit StaticShareRule::Limit(uint32_t slots,
                                  const OnlineDemand& /*demand*/) const {
  const uint32_t share = std::min(share_permille, kPermille);
  const auto limit = static_cast<uint32_t>(uint64_t{slots} * share / kPermille);
  return {limit, limit};
}

BatchLimit PriorityCancelRule::Limit(uint32_t slots,
                                     const OnlineDemand& /*demand*/) const {
  return {slots, slots};
}

BatchLimit ArrivalReserveRule::Limit(uint32_t slots,
                                     const OnlineDemand& demand) const {
  const double expected = std::max(static_cast<double>(demand.now),
                                   demand.mean + sigmas * demand.deviation);
  const double reserve =
      std::min(std::ceil(expected), static_cast<double>(slots));
  return {slots - static_cast<uint32_t>(reserve), slots};
}

AnySharingRule MakeSharingRule(const SharingPolicy& policy) {
  switch (policy.kind) {
    case SharingKind::kStaticShare:
      return StaticShareRule{policy.batch_share_permille};
    case SharingKind::kArrivalReserve:
      return ArrivalReserveRule{policy.reserve_sigma_percent / kPercent};
    case SharingKind::kPriorityCancel:
      break;
  }
  return PriorityCancelRule{};
}

BatchLimit LimitOf(const AnySharingRule& rule, uint32_t slots,
                   const OnlineDemand& demand) {
  return std::visit(
      [&](const SharingRule auto& chosen) {
        return chosen.Limit(slots, demand);
      },
      rule);
}

}  // namespace knapweedstile::decide
