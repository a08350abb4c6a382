#include "endpoint.h"

#include <charconv>
#include <cstdint>

namespace knapweedstile::wire {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [rest, error] = std::from_chars(begin, end, port);
  if (error != std::errc() || rest != end) return std::nullopt;
  boost::system::error_code bad;
  const auto ip = boost::asio::ip::make_address(host, bad);
  if (bad) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace knapweedstile::wire
