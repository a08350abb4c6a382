#ifndef KNAPWEEDSTILE_OBJECTS_FIELD_ERROR_H_
#define KNAPWEEDSTILE_OBJECTS_FIELD_ERROR_H_

#include <string>
#include <vector>

namespace knapweedstile::objects {

// Why one field of an object is invalid.
struct FieldError {
  std::string field;    // path, such as "spec.traffic.in.tier[0]"
  std::string value;    // the value as JSON, truncated; empty: missing
  std::string allowed;  // human-readable
};

using FieldErrors = std::vector<FieldError>;

// One human-readable line: each field with its value and what is allowed.
std::string Describe(const FieldErrors& errors);

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_FIELD_ERROR_H_
