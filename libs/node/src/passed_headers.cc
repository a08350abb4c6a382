#include "passed_headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace knapweedstile::node {

bool IsPassedOn(std::string_view name) noexcept {
  constexpr std::array<std::string_view, 11> kPerHop = {
      "Connection",     "Keep-Alive", "Proxy-Connection",  "TE",
      "Trailer",        "Upgrade",    "Transfer-Encoding", "Host",
      "Content-Length", "Expect",     "X-Request-Id"};
  return std::none_of(kPerHop.begin(), kPerHop.end(), [&](auto hop) {
    return boost::beast::iequals({hop.data(), hop.size()},
                                 {name.data(), name.size()});
  });
}

}  // namespace knapweedstile::node
