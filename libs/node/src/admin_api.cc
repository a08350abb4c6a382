#include "admin_api.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>

#include "base/clock.h"
#include "observe/timeline.h"

namespace knapweedstile::node {
namespace {

constexpr size_t kTimelinePage = 5000;

}  // namespace

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

std::string TimelinePage(const std::string& node,
                         const observe::Timeline& timeline,
                         const boost::json::array& peers, uint64_t after) {
  const boost::json::value head{{"node", node},
                                {"wall_clock_nanos", WallClockNanos()},
                                {"last", timeline.last_sequence()},
                                {"peers", peers}};
  // The events come as text already; they are put in before the closing brace.
  std::string text = boost::json::serialize(head);
  text.pop_back();
  return text + ",\"events\":" + timeline.EventsJson(after, kTimelinePage) +
         "}";
}

}  // namespace knapweedstile::node
