#ifndef KNAPWEEDSTILE_OBJECTS_PARSE_H_
#define KNAPWEEDSTILE_OBJECTS_PARSE_H_

#include <string_view>
#include <variant>

#include "objects/field_error.h"
#include "objects/workspace.h"

namespace knapweedstile::objects {

struct Engine;
struct Placement;
struct Policy;

// The object, or an error for each invalid field.
template <typename T>
using Parsed = std::variant<T, FieldErrors>;

// Parses a stored value `{"labels","spec"}`. Unknown fields are errors, because
// a misspelt name would otherwise silently leave a default in effect. The
// result has no name and no version; the store holds those.
template <typename T>
Parsed<T> Parse(std::string_view value);

extern template Parsed<Engine> Parse(std::string_view value);
extern template Parsed<Placement> Parse(std::string_view value);
extern template Parsed<Policy> Parse(std::string_view value);
extern template Parsed<Workspace> Parse(std::string_view value);

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_PARSE_H_
