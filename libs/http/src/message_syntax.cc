#include "http/message_syntax.h"

#include <algorithm>
#include <cstddef>

namespace knapweedstile::http {
namespace {

// Beast stores the lengths of a field's name and value in 16 bits.
constexpr size_t kMaxFieldBytes = 32 << 10;

bool HasLineBreak(std::string_view text) noexcept {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

bool IsValidName(std::string_view text) noexcept {
  return !text.empty() && text.size() < kMaxFieldBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return c > ' ' && c < 0x7f && c != ':';
         });
}

}  // namespace

bool IsValidMethod(std::string_view method) noexcept {
  return IsValidName(method);
}

bool IsValidTarget(std::string_view target) noexcept {
  return !target.empty() &&
         std::all_of(target.begin(), target.end(),
                     [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

bool IsValidField(std::string_view name, std::string_view value) noexcept {
  return IsValidName(name) && value.size() < kMaxFieldBytes &&
         !HasLineBreak(value);
}

}  // namespace knapweedstile::http
