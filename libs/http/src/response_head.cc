#include "response_head.h"

namespace knapweedstile::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

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
  return {};
}

}  // namespace knapweedstile::http
