#ifndef KNAPWEEDSTILE_GATEWAY_ROUTE_ORIGINS_H_
#define KNAPWEEDSTILE_GATEWAY_ROUTE_ORIGINS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedstile::gateway {

// A service and the software version of its servers, by name. Both are empty
// where it is not known at which versions streams began.
using OriginName = std::pair<std::string, std::string>;

// Where streams that may still be resumed can have begun, by route.
using RouteOrigins = std::map<std::string, std::set<OriginName>>;

std::string EncodeRouteOrigins(const RouteOrigins& origins);
// Returns nothing if the text is not valid.
std::optional<RouteOrigins> DecodeRouteOrigins(std::string_view value);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ROUTE_ORIGINS_H_
