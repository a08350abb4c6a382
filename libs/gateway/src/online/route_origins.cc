#include "online/route_origins.h"

#include <boost/json.hpp>

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

std::optional<OriginName> DecodeOrigin(const json::value& value) {
  const json::array* pair = value.if_array();
  if (!pair || pair->size() != 2) return std::nullopt;
  const json::string* service = (*pair)[0].if_string();
  const json::string* software = (*pair)[1].if_string();
  if (!service || !software) return std::nullopt;
  return OriginName{std::string(*service), std::string(*software)};
}

}  // namespace

std::string EncodeRouteOrigins(const RouteOrigins& origins) {
  json::object object;
  for (const auto& [route, names] : origins) {
    json::array& list = object[route].emplace_array();
    for (const auto& [service, software] : names)
      list.push_back(json::array{service, software});
  }
  return json::serialize(json::object{{"origins", std::move(object)}});
}

std::optional<RouteOrigins> DecodeRouteOrigins(std::string_view value) {
  json::error_code ec;
  const json::value parsed = json::parse({value.data(), value.size()}, ec);
  if (ec || !parsed.is_object()) return std::nullopt;
  const json::value* field = parsed.get_object().if_contains("origins");
  if (!field || !field->is_object()) return std::nullopt;
  RouteOrigins origins;
  for (const auto& [route, list] : field->get_object()) {
    if (!list.is_array()) return std::nullopt;
    std::set<OriginName>& names = origins[std::string(route)];
    for (const json::value& element : list.get_array()) {
      auto origin = DecodeOrigin(element);
      if (!origin) return std::nullopt;
      names.insert(std::move(*origin));
    }
  }
  return origins;
}

}  // namespace knapweedstile::gateway
