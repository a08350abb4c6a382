#include "serving/batch_item.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace knapweedstile::serving {

const BatchItem* FindRepeated(std::span<const BatchItem> items) {
  std::unordered_set<std::string_view> ids;
  const auto repeated = std::find_if(
      items.begin(), items.end(),
      [&ids](const BatchItem& item) { return !ids.insert(item.id).second; });
  return repeated == items.end() ? nullptr : &*repeated;
}

}  // namespace knapweedstile::serving
