#ifndef KNAPWEEDSTILE_ADMISSION_STANDING_H_
#define KNAPWEEDSTILE_ADMISSION_STANDING_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::admission {

// A workspace's use of a service's slots, relative to its weighted max-min fair
// share of them.
enum class Standing {
  kWithinShare,
  kBeyondShare,  // rejected first while slots are short
};

}  // namespace knapweedstile::admission

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<admission::Standing> = {"within_share", "beyond_share"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_ADMISSION_STANDING_H_
