#ifndef KNAPWEEDSTILE_HTTP_MESSAGE_SYNTAX_H_
#define KNAPWEEDSTILE_HTTP_MESSAGE_SYNTAX_H_

#include <string_view>

namespace knapweedstile::http {

// Whether parts of a message can be sent as given: they are not too long and no
// character in them would break the framing of the message.
bool IsValidMethod(std::string_view method) noexcept;
bool IsValidTarget(std::string_view target) noexcept;
bool IsValidField(std::string_view name, std::string_view value) noexcept;

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_MESSAGE_SYNTAX_H_
