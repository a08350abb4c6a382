#include "response_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <iterator>

namespace knapweedstile::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kHttp11 = 11;  // as in Beast

// Whether the transfer coding, if any, is the one that Beast removes. Beast
// ignores others, and then passes coded bytes on as the body.
bool HasKnownCoding(const beast_http::response_header<>& head) noexcept {
  const auto [first, last] =
      head.equal_range(beast_http::field::transfer_encoding);
  if (first == last) return true;
  return head.version() >= kHttp11 && std::next(first) == last &&
         boost::beast::iequals(first->value(), "chunked");
}

}  // namespace

std::string_view FaultOfHead(
    const beast_http::response_header<>& head) noexcept {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return "its status is outside 100 to 599";
  }
  if (status == kSwitchingProtocols) {
    return "it switches to a protocol that was not requested";
  }
  if (!HasKnownCoding(head)) return "its transfer coding is not supported";
  return {};
}

}  // namespace knapweedstile::http
