#include "endpoint.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace knapweedstile::http {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = address.substr(0, colon);
  const std::string_view digits = address.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(std::string(host), ec);
  if (ec) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace knapweedstile::http
