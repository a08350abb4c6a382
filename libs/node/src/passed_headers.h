#ifndef KNAPWEEDSTILE_NODE_PASSED_HEADERS_H_
#define KNAPWEEDSTILE_NODE_PASSED_HEADERS_H_

#include <string_view>

namespace knapweedstile::node {

// Whether a header field of a plain service's call or answer is passed on.
// Those that describe one connection (RFC 9110, section 7.6.1) or the body's
// framing are made anew on each hop.
bool IsPassedOn(std::string_view name) noexcept;

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_PASSED_HEADERS_H_
