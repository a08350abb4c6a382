#ifndef KNAPWEEDSTILE_BASE_BOUNDED_JSON_H_
#define KNAPWEEDSTILE_BASE_BOUNDED_JSON_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedstile {

// Largest memory that a parsed document takes. A document can take tens of
// times its text: each element of `[0,0,0]` is a value of 24 bytes.
inline constexpr size_t kMaxParsedJsonBytes = 16 << 20;

// Parses a document from outside. Returns nullopt if it is malformed or would
// take more than `max_bytes` while it is parsed.
std::optional<boost::json::value> ParseBoundedJson(
    std::string_view text, size_t max_bytes = kMaxParsedJsonBytes);

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_BOUNDED_JSON_H_
