#ifndef KNAPWEEDSTILE_BASE_JSON_SPLIT_H_
#define KNAPWEEDSTILE_BASE_JSON_SPLIT_H_

#include <optional>
#include <string_view>
#include <vector>

namespace knapweedstile {

struct JsonMember {
  std::string_view name;   // as written, escapes included
  std::string_view value;  // text of the value
};

// Split a JSON document into the texts of its members or elements, which are
// not parsed themselves: one that is nested too deeply, or is invalid in
// another way, leaves the others readable. Take time and memory in proportion
// to the text, however deep it is nested. Return nullopt if the document is no
// object or array, or ends early. The results refer to `document`.
std::optional<std::vector<JsonMember>> SplitJsonObject(
    std::string_view document);
std::optional<std::vector<std::string_view>> SplitJsonArray(
    std::string_view document);

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_JSON_SPLIT_H_
