#include "serving/batch_item.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>

#include "http/message_syntax.h"

namespace knapweedstile::serving {
namespace {

bool IsSendable(const BatchItem& item) {
  const auto& fields = item.headers.fields();
  // The id is sent as the value of a header field.
  return http::IsValidField("id", item.id) &&
         http::IsValidTarget(item.target) &&
         std::all_of(fields.begin(), fields.end(), [](const auto& field) {
           return http::IsValidField(field.first, field.second);
         });
}

}  // namespace

const BatchItem* FindRepeated(std::span<const BatchItem> items) {
  std::unordered_set<std::string_view> ids;
  const auto repeated = std::find_if(
      items.begin(), items.end(),
      [&ids](const BatchItem& item) { return !ids.insert(item.id).second; });
  return repeated == items.end() ? nullptr : &*repeated;
}

const BatchItem* FindUnsendable(std::span<const BatchItem> items) {
  const auto found = std::find_if_not(items.begin(), items.end(), IsSendable);
  return found == items.end() ? nullptr : &*found;
}

}  // namespace knapweedstile::serving
