#ifndef KNAPWEEDSTILE_BASE_ERROR_H_
#define KNAPWEEDSTILE_BASE_ERROR_H_

#include <array>
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile {

// What kind of failure an operation ended with. Outcomes are values; nothing
// in the public APIs throws.
enum class ErrorCode {
  kInvalid,      // the input is wrong and stays wrong
  kNotFound,     // no such object
  kConflict,     // the version has moved on
  kUnavailable,  // the other side cannot be reached; nothing was sent
  kUnknown,      // sent, but the answer is missing: it may have taken effect
  kExhausted,    // a limit was reached; come back later
  kDeadline,     // the deadline passed
  kCancelled,    // the asker gave up
  kInternal,     // a fault of this program
};

template <>
inline constexpr std::array<std::string_view, 9> kEnumNames<ErrorCode> = {
    "invalid",   "not_found", "conflict",  "unavailable", "unknown",
    "exhausted", "deadline",  "cancelled", "internal"};

// A typed error with a message for people.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Makes a failed Result that carries an Error.
inline boost::leaf::error_id Fail(ErrorCode code, std::string message) {
  return boost::leaf::new_error(Error{code, std::move(message)});
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_ERROR_H_
