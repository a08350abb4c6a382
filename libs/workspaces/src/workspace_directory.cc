#include "workspaces/workspace_directory.h"

#include <algorithm>
#include <utility>

namespace knapweedstile::workspaces {

// Guards against an operator's mistake: a later configuration without the list
// of workspaces would open every route to every caller. Once there has been a
// list, a missing one is treated as empty.
void WorkspaceDirectory::SetConfigured(
    std::optional<std::vector<Workspace>> workspaces) {
  if (!workspaces && !configured_) return;
  configured_ = std::move(workspaces).value_or(std::vector<Workspace>());
  Merge();
}

void WorkspaceDirectory::SetObjects(std::vector<Workspace> workspaces) {
  objects_ = std::move(workspaces);
  Merge();
}

void WorkspaceDirectory::Merge() {
  workspaces_.clear();
  names_by_key_.clear();
  if (configured_) {
    for (const Workspace& workspace : *configured_) {
      workspaces_[workspace.name] = workspace;
    }
  }
  for (const Workspace& object : objects_) {
    const auto [existing, is_new] =
        workspaces_.try_emplace(object.name, object);
    if (is_new) continue;
    Workspace& workspace = existing->second;
    workspace.version = object.version;
    workspace.labels = object.labels;
    workspace.models = object.models;
    workspace.keys.insert(workspace.keys.end(), object.keys.begin(),
                          object.keys.end());
  }
  if (configured_) {
    for (const Workspace& workspace : *configured_) {
      for (const KeyDigest& key : workspace.keys) {
        names_by_key_.try_emplace(key, workspace.name);
      }
    }
  }
  for (const Workspace& object : objects_) {
    for (const KeyDigest& key : object.keys) {
      names_by_key_.try_emplace(key, object.name);
    }
  }
  has_rate_limits_ =
      std::any_of(workspaces_.begin(), workspaces_.end(),
                  [](const auto& w) { return w.second.rate.limited(); });
}

const Workspace* WorkspaceDirectory::FindByKey(const KeyDigest& key) const {
  const auto found = names_by_key_.find(key);
  return found == names_by_key_.end() ? nullptr : Find(found->second);
}

const Workspace* WorkspaceDirectory::Find(std::string_view name) const {
  const auto found = workspaces_.find(name);
  return found == workspaces_.end() ? nullptr : &found->second;
}

}  // namespace knapweedstile::workspaces
