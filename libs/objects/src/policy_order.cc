#include "objects/policy_order.h"

#include <algorithm>
#include <set>

#include "objects/engine.h"
#include "objects/policy.h"
#include "objects/selector.h"
#include "objects/workspace.h"

namespace knapweedstile::objects {

namespace {

bool Contains(const std::vector<std::string>& values, std::string_view value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

bool ServesTarget(const Policy& policy, std::string_view target) {
  return policy.targets.empty() || Contains(policy.targets, target);
}

template <typename Selects>
const Policy* FirstInPrecedence(const std::vector<const Policy*>& policies,
                                Selects selects) {
  const Policy* winner = nullptr;
  for (const Policy* policy : policies) {
    if (!selects(*policy)) continue;
    if (winner == nullptr || HasPrecedence(*policy, *winner)) winner = policy;
  }
  return winner;
}

bool ShareTarget(const Policy& a, const Policy& b) {
  if (a.targets.empty() || b.targets.empty()) return true;
  return std::any_of(
      a.targets.begin(), a.targets.end(),
      [&](const std::string& target) { return Contains(b.targets, target); });
}

bool ShareTraffic(const Policy& a, const Policy& b,
                  const std::vector<const Workspace*>& workspaces) {
  if (!SelectsTraffic(a) || !SelectsTraffic(b)) return false;
  if (!ShareTarget(a, b)) return false;
  return std::any_of(workspaces.begin(), workspaces.end(),
                     [&](const Workspace* workspace) {
                       return Matches(a.traffic, workspace->labels) &&
                              Matches(b.traffic, workspace->labels);
                     });
}

bool SelectsEngine(const Policy& policy, const Engine& engine) {
  return ServesTarget(policy, engine.model) &&
         Matches(policy.engines, engine.labels);
}

bool ShareEngine(const Policy& a, const Policy& b,
                 const std::vector<const Engine*>& engines) {
  return std::any_of(engines.begin(), engines.end(), [&](const Engine* engine) {
    return SelectsEngine(a, *engine) && SelectsEngine(b, *engine);
  });
}

}  // namespace

bool HasPrecedence(const Policy& a, const Policy& b) {
  if (a.priority != b.priority) return a.priority > b.priority;
  return a.name < b.name;
}

bool SelectsTraffic(const Policy& policy) {
  const Selector& traffic = policy.traffic;
  return !policy.targets.empty() || !traffic.match.empty() ||
         !traffic.in.empty() || !traffic.not_in.empty() ||
         !traffic.exists.empty();
}

bool MatchesTraffic(const Policy& policy, const Labels& workspace_labels,
                    std::string_view target) {
  return SelectsTraffic(policy) && ServesTarget(policy, target) &&
         Matches(policy.traffic, workspace_labels);
}

const Policy* PolicyForTraffic(const std::vector<const Policy*>& policies,
                               const Labels& workspace_labels,
                               std::string_view target) {
  return FirstInPrecedence(policies, [&](const Policy& policy) {
    return MatchesTraffic(policy, workspace_labels, target);
  });
}

const Policy* PolicyForEngine(const std::vector<const Policy*>& policies,
                              const Engine& engine) {
  return FirstInPrecedence(policies, [&](const Policy& policy) {
    return SelectsEngine(policy, engine);
  });
}

std::map<std::string, std::vector<std::string>> ShadowedBy(
    const std::vector<const Policy*>& policies,
    const std::vector<const Engine*>& engines,
    const std::vector<const Workspace*>& workspaces) {
  std::vector<const Policy*> ordered = policies;
  std::sort(
      ordered.begin(), ordered.end(),
      [](const Policy* a, const Policy* b) { return HasPrecedence(*a, *b); });
  std::map<std::string, std::vector<std::string>> shadowed;
  for (size_t i = 0; i < ordered.size(); ++i) {
    std::vector<std::string>& by = shadowed[ordered[i]->name];
    for (size_t j = 0; j < i; ++j) {
      if (ShareTraffic(*ordered[i], *ordered[j], workspaces) ||
          ShareEngine(*ordered[i], *ordered[j], engines)) {
        by.push_back(ordered[j]->name);
      }
    }
  }
  return shadowed;
}

}  // namespace knapweedstile::objects
