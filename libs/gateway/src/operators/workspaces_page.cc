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

constexpr size_t kMaxListed = 1000;

struct Use {
  const workspaces::Workspace* workspace = nullptr;
  int64_t admitted = 0;  // by all gateways, within the window
  uint32_t own = 0;
  uint32_t rejected = 0;  // by this gateway
};

json::object ToJson(const Use& use) {
  const workspaces::Workspace& workspace = *use.workspace;
  json::object object = {{"name", workspace.name},
                         {"keys", workspace.keys.size()},
                         {"requests_per_second", workspace.rate.per_second},
                         {"burst", workspace.rate.burst},
                         {"admitted", use.admitted},
                         {"admitted_here", use.own},
                         {"refused_here", use.rejected}};
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
                    .rejected = rate.OwnRejected(hash, now)});
  }
  std::stable_sort(uses.begin(), uses.end(), [](const Use& a, const Use& b) {
    return a.admitted + a.rejected > b.admitted + b.rejected;
  });
  const bool more = uses.size() > kMaxListed;
  if (more) uses.resize(kMaxListed);
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
