#include "online/origin_history.h"

#include "serving/stream_origins.h"

namespace knapweedstile::gateway {

RouteOrigins OriginHistory::Next(const RouteOrigins& recorded,
                                 const RouteOrigins& in_service,
                                 TimePoint now) {
  RouteOrigins next = in_service;
  for (auto& [route, names] : next) {
    if (!recorded.contains(route)) names.insert(OriginName());
  }
  std::map<std::pair<std::string, OriginName>, TimePoint> absent;
  for (const auto& [route, names] : recorded) {
    const auto served = in_service.find(route);
    for (const OriginName& name : names) {
      if (served != in_service.end() && served->second.contains(name)) continue;
      const std::pair<std::string, OriginName> key{route, name};
      const auto known = absent_since_.find(key);
      const TimePoint since =
          known == absent_since_.end() ? now : known->second;
      absent.emplace(key, since);
      if (now - since < serving::StreamOrigins::kLifetime)
        next[route].insert(name);
    }
  }
  absent_since_ = std::move(absent);
  return next;
}

void OriginHistory::AddUnrecorded(const RouteOrigins& in_service) {
  for (const auto& [route, names] : in_service)
    unrecorded_[route].insert(names.begin(), names.end());
}

}  // namespace knapweedstile::gateway
