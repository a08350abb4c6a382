#include "serving/route_table.h"

#include <algorithm>

namespace knapweedstile::serving {
namespace {

// Routes name hosts without a port.
std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view name = WithoutPort(host);
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != name || !path.starts_with(route.path_prefix)) continue;
    if (!best || route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best;
}

const Route* RouteTable::FindByName(std::string_view name) const {
  for (const Route& route : routes) {
    if (route.name == name) return &route;
  }
  return nullptr;
}

bool RouteTable::IsLessUrgent(
    const Route& route, std::optional<uint32_t> workspace_priority) const {
  const uint32_t own = workspace_priority.value_or(route.priority);
  const std::string& service = route.services.front().service;
  return std::any_of(routes.begin(), routes.end(), [&](const Route& other) {
    return other.kind != RouteKind::kBatch && other.priority < own &&
           other.services.front().service == service;
  });
}

const Service* RouteTable::FindService(std::string_view name) const {
  for (const Service& service : services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

}  // namespace knapweedstile::serving
