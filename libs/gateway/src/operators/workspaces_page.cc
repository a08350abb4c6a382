#include "operators/workspaces_page.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "workspaces/rate_quota.h"
#include "workspaces/workspace_directory.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

constexpr size_t kMostListed = 1000;

struct Use {
  const workspaces::Workspace* workspace = nullptr;
  int64_t admitted = 0;  // by all entries, in the window
  uint32_t own = 0;
  uint32_t refused = 0;  // here
};

json::object ToJson(const Use& use) {
  const workspaces::Workspace& workspace = *use.workspace;
  json::object object = {{"name", workspace.name},
                         {"keys", workspace.keys.size()},
                         {"requests_per_second", workspace.rate.per_second},
                         {"burst", workspace.rate.burst},
                         {"admitted", use.admitted},
                         {"admitted_here", use.own},
                         {"refused_here", use.refused}};
  if (workspace.priority) object["priority"] = *workspace.priority;
  return object;
}

}  // namespace

std::string RenderWorkspaces(const std::string& node, uint64_t configuration,
                             const workspaces::WorkspaceDirectory& workspaces,
                             const workspaces::RateQuota& rate, TimePoint now) {
  std::vector<Use> uses;
  for (const auto& [name, workspace] : workspaces.all()) {
    const uint64_t hash = Hash64(name);
    uses.push_back({.workspace = &workspace,
                    .admitted = std::llround(rate.TotalCount(hash, now)),
                    .own = rate.OwnCount(hash, now),
                    .refused = rate.OwnRejected(hash, now)});
  }
  std::stable_sort(uses.begin(), uses.end(), [](const Use& a, const Use& b) {
    return a.admitted + a.refused > b.admitted + b.refused;
  });
  const bool more = uses.size() > kMostListed;
  if (more) uses.resize(kMostListed);
  json::array list;
  for (const Use& use : uses) list.push_back(ToJson(use));
  return json::serialize(json::object{{"node", node},
                                      {"configuration", configuration},
                                      {"window_ms", ToMillis(rate.window())},
                                      {"needs_key", workspaces.needs_key()},
                                      {"workspaces", std::move(list)},
                                      {"more", more}});
}

}  // namespace knapweedstile::gateway
