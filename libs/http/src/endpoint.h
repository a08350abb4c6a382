#ifndef KNAPWEEDSTILE_HTTP_ENDPOINT_H_
#define KNAPWEEDSTILE_HTTP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace knapweedstile::http {

// Parses "IP:PORT", with an IPv6 address in brackets. Returns nullopt when
// `address` is malformed or holds a host name.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_ENDPOINT_H_
