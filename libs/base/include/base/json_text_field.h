#ifndef KNAPWEEDSTILE_BASE_JSON_TEXT_FIELD_H_
#define KNAPWEEDSTILE_BASE_JSON_TEXT_FIELD_H_

#include <string>
#include <string_view>

namespace knapweedstile {

// The text of a field of the JSON object `document`, which is not kept in
// memory; of the last such field if it has several. Empty if it has none, if
// that is no text, or if the document is malformed.
std::string FindJsonTextField(std::string_view document, std::string_view name);

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_JSON_TEXT_FIELD_H_
