#include "admin_api.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>

namespace knapweedstile::node {

std::string_view PathOf(std::string_view target) noexcept {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) return {};
  const auto params = url->params();
  const auto found = params.find(name);
  return found == params.end() ? std::string() : (*found).value;
}

uint64_t QueryNumber(std::string_view target, std::string_view name,
                     uint64_t standard) {
  const std::string text = QueryValue(target, name);
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end
             ? value
             : standard;
}

http::RespondCommand JsonResponse(ExchangeId exchange, unsigned status,
                                  std::string body) {
  http::RespondCommand command{exchange, status, {}, std::move(body)};
  command.headers.Add("Content-Type", "application/json");
  return command;
}

http::RespondCommand TextResponse(ExchangeId exchange, unsigned status,
                                  std::string body) {
  http::RespondCommand command{exchange, status, {}, std::move(body)};
  command.headers.Add("Content-Type", "text/plain; charset=utf-8");
  return command;
}

}  // namespace knapweedstile::node
