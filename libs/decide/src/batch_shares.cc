#include "batch_shares.h"

#include <algorithm>

namespace knapweedstile::decide {

void BatchShares::OnItemIn(const BatchOwner& owner) {
  auto [workspace, new_workspace] = workspaces_.try_emplace(owner.workspace);
  Workspace& entry = workspace->second;
  if (new_workspace) {
    uint64_t least = UINT64_MAX;
    for (const auto& [name, other] : workspaces_) {
      if (name != owner.workspace) least = std::min(least, other.share.served);
    }
    entry.share.served = least == UINT64_MAX ? 0 : least;
  }
  ++entry.share.items;
  auto [caller, new_caller] = entry.callers.try_emplace(owner.caller);
  if (new_caller) {
    uint64_t least = UINT64_MAX;
    for (const auto& [name, other] : entry.callers) {
      if (name != owner.caller) least = std::min(least, other.served);
    }
    caller->second.served = least == UINT64_MAX ? 0 : least;
  }
  ++caller->second.items;
}

void BatchShares::OnItemOut(const BatchOwner& owner) {
  const auto workspace = workspaces_.find(owner.workspace);
  if (workspace == workspaces_.end()) return;
  const auto caller = workspace->second.callers.find(owner.caller);
  if (--caller->second.items == 0) workspace->second.callers.erase(caller);
  if (--workspace->second.share.items == 0) workspaces_.erase(workspace);
}

void BatchShares::Charge(const BatchOwner& owner, uint32_t tokens) {
  const auto workspace = workspaces_.find(owner.workspace);
  if (workspace == workspaces_.end()) return;
  workspace->second.share.served += tokens;
  workspace->second.callers[owner.caller].served += tokens;
}

void BatchShares::OnStarted(const BatchOwner& owner) {
  ++workspaces_[owner.workspace].running;
}

void BatchShares::OnStopped(const BatchOwner& owner) {
  --workspaces_[owner.workspace].running;
}

BatchShares::Rank BatchShares::RankOf(const BatchOwner& owner) const {
  const auto workspace = workspaces_.find(owner.workspace);
  if (workspace == workspaces_.end()) return {};
  const auto caller = workspace->second.callers.find(owner.caller);
  return {
      workspace->second.share.served,
      caller == workspace->second.callers.end() ? 0 : caller->second.served};
}

uint32_t BatchShares::Running(const BatchOwner& owner) const {
  const auto workspace = workspaces_.find(owner.workspace);
  return workspace == workspaces_.end() ? 0 : workspace->second.running;
}

}  // namespace knapweedstile::decide
