#ifndef KNAPWEEDSTILE_BASE_ERROR_H_
#define KNAPWEEDSTILE_BASE_ERROR_H_

#include <array>
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile {

// The kind of a failure. Public APIs return errors as values and do not throw.
enum class ErrorCode {
  kInvalid,      // the input is invalid; retrying does not help
  kNotFound,     // no such object
  kConflict,     // the object has another version than expected
  kUnavailable,  // the peer is unreachable; nothing was sent
  kUnknown,      // sent, but no response: it may have taken effect
  kExhausted,    // a limit was reached; retry later
  kDeadline,     // the deadline passed
  kCancelled,    // cancelled by the requester
  kInternal,     // a bug in this program
};

template <>
inline constexpr std::array<std::string_view, 9> kEnumNames<ErrorCode> = {
    "invalid",   "not_found", "conflict",  "unavailable", "unknown",
    "exhausted", "deadline",  "cancelled", "internal"};

// An error code and a message for humans.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Creates the error of a failed Result.
inline boost::leaf::error_id Fail(ErrorCode code, std::string message) {
  return boost::leaf::new_error(Error{code, std::move(message)});
}

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_ERROR_H_
