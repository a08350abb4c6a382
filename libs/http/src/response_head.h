#ifndef KNAPWEEDSTILE_HTTP_RESPONSE_HEAD_H_
#define KNAPWEEDSTILE_HTTP_RESPONSE_HEAD_H_

#include <boost/beast/http/message.hpp>
#include <string_view>

namespace knapweedstile::http {

// Why a head that Beast has parsed is not that of a response to a request of
// this client (RFC 9110, RFC 9112); empty: it may be.
std::string_view FaultOfHead(
    const boost::beast::http::response_header<>& head) noexcept;

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_RESPONSE_HEAD_H_
