#include "serving/route_table.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile::serving {
namespace {

Route Named(const std::string& name, uint32_t priority,
            const std::string& service, RouteKind kind = RouteKind::kStream) {
  return {.name = name,
          .kind = kind,
          .services = {{service, 1}},
          .priority = priority};
}

}  // namespace

// The service is saturated. Of two workspaces on the same route, the one with
// the lower priority is rejected first; a low-priority route with a service of
// its own is not affected.
TEST_CASE("a workspace's priority overrides its route's") {
  RouteTable table;
  table.routes = {Named("query", 0, "llm"), Named("reply", 1, "llm"),
                  Named("nightly", 0, "app", RouteKind::kBatch),
                  Named("ping", 2, "app")};
  const Route& query = table.routes[0];
  const Route& reply = table.routes[1];
  const Route& ping = table.routes[3];
  CHECK_FALSE(table.IsLessUrgent(query, std::nullopt));
  CHECK(table.IsLessUrgent(query, 1));
  CHECK(table.IsLessUrgent(reply, std::nullopt));
  CHECK_FALSE(table.IsLessUrgent(reply, 0));
  CHECK_FALSE(table.IsLessUrgent(ping, std::nullopt));
  CHECK(table.IsLessUrgent(ping, 3));
}

}  // namespace knapweedstile::serving
