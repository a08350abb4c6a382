#ifndef KNAPWEEDSTILE_SERVING_ITEM_RESULT_H_
#define KNAPWEEDSTILE_SERVING_ITEM_RESULT_H_

#include <array>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::serving {

enum class ItemState { kCompleted, kFailed };

// The final outcome of one item, at a fixed position of its job.
struct ItemResult {
  std::string item;
  ItemState state = ItemState::kCompleted;
  std::string output;      // the data of all events, joined by line feeds
  bool has_output = true;  // false: an outline, the output is elsewhere
  bool in_parts = false;   // in the store; the output is too large for a value
};

}  // namespace knapweedstile::serving

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<serving::ItemState> = {"completed", "failed"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_SERVING_ITEM_RESULT_H_
