#ifndef KNAPWEEDSTILE_SOAK_ITEM_SIZES_H_
#define KNAPWEEDSTILE_SOAK_ITEM_SIZES_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/rng.h"

namespace knapweedstile::soak {

// Sizes of an item's body and of its output.
struct ItemSizes {
  size_t body = 0;
  size_t event_padding = 0;  // of each event
  char pad = 'x';            // what the padding consists of
};

// Draws mostly small sizes, and a few outputs that exceed a value of the store.
ItemSizes DrawItemSizes(Rng& rng);

// The body of an item that can be done. It tells the backend server how much to
// add to each event.
std::string BodyOf(const ItemSizes& sizes);
std::string EventPadding(const ItemSizes& sizes);
// The padding that the body asks for; empty for other bodies.
std::string EventPaddingFor(std::string_view body);

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_ITEM_SIZES_H_
