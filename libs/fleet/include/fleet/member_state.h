#ifndef KNAPWEEDSTILE_FLEET_MEMBER_STATE_H_
#define KNAPWEEDSTILE_FLEET_MEMBER_STATE_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::fleet {

enum class MemberState {
  kIn,       // takes new work
  kLeaving,  // takes no new work; what it has goes on
  kSilent,   // its connection went silent and is being replaced
  kDown,     // not connected, or its backend server is not healthy
};

enum class MemberRole { kEntry, kSidecar };

}  // namespace knapweedstile::fleet

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<fleet::MemberState> = {"in", "leaving", "silent", "down"};
template <>
inline constexpr std::array<std::string_view, 2> kEnumNames<fleet::MemberRole> =
    {"entry", "sidecar"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_FLEET_MEMBER_STATE_H_
