#ifndef KNAPWEEDSTILE_HTTP_ENDPOINT_H_
#define KNAPWEEDSTILE_HTTP_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace knapweedstile::http {

// Reads "IP:PORT"; an IPv6 address stands in brackets.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_ENDPOINT_H_
