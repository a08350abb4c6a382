#include "response_head.h"

namespace knapweedstile::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

}  // namespace

std::string_view FaultOfHead(
    const beast_http::response_header<>& head) noexcept {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) {
    return "its status is outside 100 to 599";
  }
  return {};
}

}  // namespace knapweedstile::http
