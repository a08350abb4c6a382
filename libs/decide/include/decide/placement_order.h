#ifndef KNAPWEEDSTILE_DECIDE_PLACEMENT_ORDER_H_
#define KNAPWEEDSTILE_DECIDE_PLACEMENT_ORDER_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::decide {

enum class PlacementOrderKind { kLoad, kUnload };

// An order to an engine. `fence` is that of the lease under which it was given:
// an engine (or its sidecar) refuses an order with a lower one than it has
// seen.
struct PlacementOrder {
  PlacementOrderKind kind = PlacementOrderKind::kLoad;
  std::string engine;
  std::string model;
  uint64_t fence = 0;
};

}  // namespace knapweedstile::decide

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<decide::PlacementOrderKind> = {"load_model", "unload_model"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_DECIDE_PLACEMENT_ORDER_H_
