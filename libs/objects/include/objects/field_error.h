#ifndef KNAPWEEDSTILE_OBJECTS_FIELD_ERROR_H_
#define KNAPWEEDSTILE_OBJECTS_FIELD_ERROR_H_

#include <string>
#include <vector>

namespace knapweedstile::objects {

// Why one field of an object is refused.
struct FieldError {
  std::string field;    // path, such as "spec.traffic.in.tier[0]"
  std::string value;    // the value as JSON, cut short; empty: missing
  std::string allowed;  // for people
};

using FieldErrors = std::vector<FieldError>;

// One line for people: every field with the value seen and what is allowed.
std::string Describe(const FieldErrors& errors);

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_FIELD_ERROR_H_
