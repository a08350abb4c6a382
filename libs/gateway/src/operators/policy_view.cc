#include "operators/policy_view.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "base/log.h"
#include "objects/policy_order.h"
#include "objects/selector.h"
#include "operators/object_names.h"

namespace knapweedstile::gateway {
namespace {

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

void PolicyView::OnListed(std::vector<platform::StoredObject>&& objects) {
  std::map<std::string, uint64_t> removed = std::exchange(versions_, {});
  for (const platform::StoredObject& object : objects) {
    removed.erase(object.name);
    Apply(object);
  }
  // Objects missing from the list were deleted while no watch was open, at a
  // higher version than the last one received.
  for (const auto& [name, version] : removed) {
    Apply({.name = name, .version = version + 1, .deleted = true});
  }
  UpdateServerPolicies();
}

void PolicyView::OnChanged(platform::StoredObject&& object) {
  Apply(object);
  UpdateServerPolicies();
}

void PolicyView::Apply(const platform::StoredObject& object) {
  const ObjectName name = ParseObjectName(object.name);
  const objects::ApplyResult result = catalog_.Apply(
      name.kind, name.name, object.version, object.value, object.deleted);
  if (object.deleted) {
    versions_.erase(object.name);
  } else {
    versions_[object.name] = object.version;
  }
  switch (result.outcome) {
    case objects::ApplyOutcome::kStale:
      return;
    case objects::ApplyOutcome::kAccepted:
      return LogInfo("object_in_force", {{"object", object.name},
                                         {"version", object.version},
                                         {"deleted", object.deleted}});
    case objects::ApplyOutcome::kInvalid:
      return LogError("object_refused",
                      {{"object", object.name},
                       {"version", object.version},
                       {"reason", objects::Describe(result.errors)}});
    case objects::ApplyOutcome::kIgnored:
      return LogWarning("object_unknown", {{"object", object.name}});
  }
}

objects::Labels PolicyView::LabelsOf(
    const serving::ServerRecord& record) const {
  const objects::Engine* engine = catalog_.EngineOnVm(record.address);
  if (!engine) engine = catalog_.EngineOnVm(HostOf(record.address));
  objects::Labels labels = engine ? engine->labels : objects::Labels();
  labels.emplace("service", record.service);
  labels.emplace("availability_zone", record.availability_zone);
  labels.emplace("software", record.software);
  return labels;
}

void PolicyView::UpdateServerPolicies() {
  excluded_servers_.clear();
  if (catalog_.policies().empty() && server_policies_.empty()) return;
  // The same policies as catalog_.policies(), as a list of pointers.
  const auto policies = catalog_.AllPolicies();
  std::map<BackendServerId, std::string> attached;
  for (const BackendServerId id : scheduler_.Servers()) {
    const serving::ServerRecord& record = *scheduler_.Record(id);
    const objects::Policy* policy = objects::PolicyForEngine(
        policies, {.labels = LabelsOf(record), .model = record.service});
    scheduler_.SetSharing(
        id, policy ? std::optional(policy->sharing) : std::nullopt);
    const std::string current =
        policy ? fmt::format("{}@{}", policy->name, policy->version)
               : std::string();
    if (policy) attached[id] = current;
    const auto previous = server_policies_.find(id);
    if ((previous == server_policies_.end() ? "" : previous->second) == current)
      continue;
    LogInfo("policy_attached",
            {{"instance", record.instance},
             {"policy", policy ? policy->name : "default"},
             {"version", policy ? policy->version : 0},
             {"sharing", policy ? NameOf(policy->sharing.kind) : "built_in"}});
  }
  server_policies_ = std::move(attached);
}

const std::vector<BackendServerId>& PolicyView::ExcludedServers(
    const serving::Route& route, const std::string& service,
    const std::string& workspace) {
  const auto [cached, is_new] = excluded_servers_.try_emplace(
      fmt::format("{} {} {}", route.name, service, workspace));
  if (is_new) {
    cached->second =
        FindExcludedServers(TrafficLabels(route, workspace), service);
  }
  return cached->second;
}

objects::Labels PolicyView::TrafficLabels(const serving::Route& route,
                                          const std::string& workspace) const {
  const auto found = catalog_.workspaces().find(workspace);
  objects::Labels labels = found == catalog_.workspaces().end()
                               ? objects::Labels()
                               : found->second.labels;
  labels.emplace("route", route.name);
  labels.emplace("host", route.host);
  labels.emplace("kind", NameOf(route.kind));
  return labels;
}

std::vector<BackendServerId> PolicyView::FindExcludedServers(
    const objects::Labels& traffic, const std::string& service) const {
  const objects::Policy* policy =
      objects::PolicyForTraffic(catalog_.AllPolicies(), traffic, service);
  if (!policy) return {};
  std::vector<BackendServerId> excluded;
  bool any_selected = false;
  for (const BackendServerId id : scheduler_.Servers()) {
    const serving::ServerRecord& record = *scheduler_.Record(id);
    if (record.service != service) continue;
    if (objects::Matches(policy->engines, LabelsOf(record))) {
      any_selected = any_selected || !record.draining;
    } else {
      excluded.push_back(id);
    }
  }
  if (any_selected) return excluded;
  LogWarning("policy_selects_no_server",
             {{"policy", policy->name}, {"service", service}});
  return {};
}

}  // namespace knapweedstile::gateway
