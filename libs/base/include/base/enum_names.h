#ifndef KNAPWEEDSTILE_BASE_ENUM_NAMES_H_
#define KNAPWEEDSTILE_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedstile {

// The table of names of an enum class whose values count from zero. Specialize
// `kEnumNames<E>` beside the enum:
//
//   template <>
//   inline constexpr std::array<std::string_view, 2> kEnumNames<TrafficClass> =
//       {"online", "batch"};
template <typename E>
inline constexpr std::array<std::string_view, 0> kEnumNames = {};

template <typename E>
constexpr std::string_view NameOf(E value) noexcept {
  const auto index = static_cast<size_t>(value);
  return index < kEnumNames<E>.size() ? kEnumNames<E>[index] : "invalid";
}

template <typename E>
constexpr std::optional<E> ParseEnum(std::string_view name) noexcept {
  for (size_t i = 0; i < kEnumNames<E>.size(); ++i) {
    if (kEnumNames<E>[i] == name) return static_cast<E>(i);
  }
  return std::nullopt;
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_ENUM_NAMES_H_
