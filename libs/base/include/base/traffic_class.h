#ifndef KNAPWEEDSTILE_BASE_TRAFFIC_CLASS_H_
#define KNAPWEEDSTILE_BASE_TRAFFIC_CLASS_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile {

// Online callers wait for their response; batch items may complete much later.
enum class TrafficClass { kOnline, kBatch };

template <>
inline constexpr std::array<std::string_view, 2> kEnumNames<TrafficClass> = {
    "online", "batch"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_TRAFFIC_CLASS_H_
