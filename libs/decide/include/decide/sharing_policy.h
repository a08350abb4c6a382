#ifndef KNAPWEEDSTILE_DECIDE_SHARING_POLICY_H_
#define KNAPWEEDSTILE_DECIDE_SHARING_POLICY_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::decide {

// The ways of sharing a backend server between online and batch.
enum class SharingKind {
  kStaticShare,     // a fixed number of slots for batch, never more
  kPriorityCancel,  // batch takes all idle slots, online cancels it at once
  kArrivalReserve,  // as above, but keeps free what recent arrivals need
};

// The parameters of one serving policy, as its object gives them.
struct SharingPolicy {
  std::string name = "default";
  uint64_t revision = 0;
  SharingKind kind = SharingKind::kPriorityCancel;
  // kStaticShare: share of the slots that batch may hold, in thousandths.
  uint32_t batch_share_permille = 250;
  // kArrivalReserve: how many standard deviations of recent concurrent online
  // requests above the mean are kept free, in hundredths.
  uint32_t reserve_sigma_percent = 200;
};

}  // namespace knapweedstile::decide

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3>
    kEnumNames<decide::SharingKind> = {"static_share", "priority_cancel",
                                       "arrival_reserve"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_DECIDE_SHARING_POLICY_H_
