#ifndef KNAPWEEDSTILE_WIRE_ENDPOINT_H_
#define KNAPWEEDSTILE_WIRE_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace knapweedstile::wire {

// "IP:PORT", an IPv6 address in brackets. None when it is not that; names are
// not looked up.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_ENDPOINT_H_
