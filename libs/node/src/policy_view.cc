#include "policy_view.h"

#include <algorithm>

#include "objects/policy.h"
#include "objects/policy_order.h"
#include "objects/selector.h"

namespace knapweedstile::node {
namespace {

std::string PoolName(std::string_view target, std::string_view policy) {
  std::string name(target);
  name += '@';
  name += policy;
  return name;
}

bool TakesTarget(const objects::Policy& policy, std::string_view target) {
  return policy.targets.empty() ||
         std::find(policy.targets.begin(), policy.targets.end(), target) !=
             policy.targets.end();
}

}  // namespace

TrafficRoute PolicyView::RouteOf(std::string_view workspace,
                                 std::string_view target) const {
  const objects::Policy* policy = catalog_.WinningPolicy(workspace, target);
  const std::string_view name = policy == nullptr ? "" : policy->name;
  TrafficRoute route;
  route.target = target;
  route.policy = policy == nullptr ? kNoTrafficPolicy : name;
  route.pool = PoolName(target, name);
  const auto object = catalog_.workspaces().find(workspace);
  if (object != catalog_.workspaces().end()) {
    route.workspace_weight = object->second.weight;
  }
  return route;
}

std::vector<std::string> PolicyView::PoolsOf(std::string_view vm,
                                             std::string_view availability_zone,
                                             std::string_view target) const {
  const objects::Engine engine = EngineOf(vm, availability_zone, target);
  std::vector<std::string> pools{PoolName(target, "")};
  for (const auto& [name, policy] : catalog_.policies()) {
    if (objects::SelectsTraffic(policy) && TakesTarget(policy, target) &&
        objects::Matches(policy.engines, engine.labels)) {
      pools.push_back(PoolName(target, name));
    }
  }
  return pools;
}

decide::SharingPolicy PolicyView::SharingOf(std::string_view vm,
                                            std::string_view availability_zone,
                                            std::string_view target) const {
  std::vector<const objects::Policy*> policies;
  for (const auto& [name, policy] : catalog_.policies()) {
    policies.push_back(&policy);
  }
  const objects::Policy* policy = objects::PolicyOfEngine(
      policies, EngineOf(vm, availability_zone, target));
  return policy == nullptr ? decide::SharingPolicy() : policy->sharing;
}

objects::Engine PolicyView::EngineOf(std::string_view vm,
                                     std::string_view availability_zone,
                                     std::string_view target) const {
  objects::Engine engine;
  engine.name = vm;
  engine.vm = vm;
  engine.model = target;
  if (const objects::Engine* object = catalog_.EngineOnVm(vm)) {
    engine = *object;
  }
  // The model beside the sidecar is what it really serves.
  engine.model = target;
  engine.labels.emplace("vm", vm);
  engine.labels.emplace("availability_zone", availability_zone);
  engine.labels.emplace("target", target);
  return engine;
}

}  // namespace knapweedstile::node
