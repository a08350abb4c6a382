#ifndef KNAPWEEDSTILE_BASE_ENUM_NAMES_H_
#define KNAPWEEDSTILE_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedstile {

// The names of an enum class whose values are numbered from zero without gaps.
// Specialize `kEnumNames<E>` next to the enum:
//
//   template <>
//   inline constexpr std::array<std::string_view, 2> kEnumNames<TrafficClass> =
//       {"online", "batch"};
template <typename E>
inline constexpr std::array<std::string_view, 0> kEnumNames = {};

// The name of `value`, or "invalid" when it is out of range.
template <typename E>
constexpr std::string_view NameOf(E value) noexcept {
  const auto index = static_cast<size_t>(value);
  return index < kEnumNames<E>.size() ? kEnumNames<E>[index] : "invalid";
}

// The value called `name`; nullopt when there is none.
template <typename E>
constexpr std::optional<E> ParseEnum(std::string_view name) noexcept {
  for (size_t i = 0; i < kEnumNames<E>.size(); ++i) {
    if (kEnumNames<E>[i] == name) return static_cast<E>(i);
  }
  return std::nullopt;
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_ENUM_NAMES_H_
