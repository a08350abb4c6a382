#ifndef KNAPWEEDSTILE_DECIDE_SHARING_POLICY_H_
#define KNAPWEEDSTILE_DECIDE_SHARING_POLICY_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::decide {

// Ways to share a backend server between online and batch requests.
enum class SharingKind {
  kStaticShare,     // a fixed number of slots for batch
  kPriorityCancel,  // batch uses all idle slots, online preempts
  kArrivalReserve,  // the same, with a reserve for recent demand
};

// Parameters of one serving policy, as stored in its object.
struct SharingPolicy {
  std::string name = "default";
  uint64_t revision = 0;
  SharingKind kind = SharingKind::kPriorityCancel;
  // kStaticShare: share of the slots that batch may hold, in thousandths.
  uint32_t batch_share_permille = 250;
  // kArrivalReserve: slots that are kept free, as the mean of recent concurrent
  // online requests plus this many standard deviations, in hundredths.
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
