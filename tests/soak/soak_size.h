#ifndef KNAPWEEDSTILE_SOAK_SOAK_SIZE_H_
#define KNAPWEEDSTILE_SOAK_SOAK_SIZE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::soak {

enum class SizeName : uint8_t { kSmall, kFewDozen, kLimit };

// Size of the deployment and duration of one run.
struct SoakSize {
  int gateways = 3;
  int model_servers = 4;
  int app_servers = 2;
  int requests_per_second = 25;
  std::chrono::milliseconds planned_phase{7000};
  std::chrono::milliseconds fault_phase{14000};
};

constexpr SoakSize SizeOf(SizeName name) {
  switch (name) {
    case SizeName::kSmall:
      return {};
    case SizeName::kFewDozen:
      return {.gateways = 24,
              .model_servers = 12,
              .app_servers = 3,
              .requests_per_second = 60,
              .planned_phase = std::chrono::milliseconds(10000),
              .fault_phase = std::chrono::milliseconds(20000)};
    case SizeName::kLimit:
      return {.gateways = 120,
              .model_servers = 24,
              .app_servers = 4,
              .requests_per_second = 60,
              .planned_phase = std::chrono::milliseconds(10000),
              .fault_phase = std::chrono::milliseconds(20000)};
  }
  return {};
}

}  // namespace knapweedstile::soak

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3> kEnumNames<soak::SizeName> = {
    "small", "few-dozen", "limit"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_SOAK_SOAK_SIZE_H_
