#include "fair_queue.h"

#include <algorithm>

#include "entry_invariant.h"

namespace knapweedstile::decide {

void FairQueue::Push(FairQueueKey key, double weight, RequestId request,
                     double cost) {
  Workspace& workspace = waiting_[key.workspace];
  workspace.lines[key.caller].push_back({request, cost});
  workspace.callers.Activate(key.caller, 1.0);
  workspaces_.Activate(key.workspace, weight);
  ++workspace.waiting;
  ++size_;
}

RequestId FairQueue::Take(FairQueueKey key) {
  Workspace& workspace = waiting_.at(key.workspace);
  std::deque<Item>& line = workspace.lines.at(key.caller);
  const Item item = line.front();
  line.pop_front();
  const bool caller_has_more = !line.empty();
  if (!caller_has_more) workspace.lines.erase(key.caller);
  workspace.callers.Serve(key.caller, item.cost, caller_has_more);
  --workspace.waiting;
  --size_;
  const bool workspace_has_more = workspace.waiting > 0;
  if (!workspace_has_more) waiting_.erase(key.workspace);
  workspaces_.Serve(key.workspace, item.cost, workspace_has_more);
  return item.request;
}

void FairQueue::Remove(FairQueueKey key, RequestId request) {
  const auto found = waiting_.find(key.workspace);
  RequireInvariant(found != waiting_.end(), "a removed request waits");
  Workspace& workspace = found->second;
  const auto line = workspace.lines.find(key.caller);
  RequireInvariant(line != workspace.lines.end(), "a removed request waits");
  const size_t removed = std::erase_if(
      line->second,
      [request](const Item& item) { return item.request == request; });
  RequireInvariant(removed == 1, "a removed request waits once");
  --workspace.waiting;
  --size_;
  if (line->second.empty()) {
    workspace.lines.erase(line);
    workspace.callers.Deactivate(key.caller);
  }
  if (workspace.waiting == 0) {
    waiting_.erase(found);
    workspaces_.Deactivate(key.workspace);
  }
}

size_t FairQueue::WaitingOf(uint64_t workspace) const {
  const auto found = waiting_.find(workspace);
  return found == waiting_.end() ? 0 : found->second.waiting;
}

size_t FairQueue::WaitingOf(FairQueueKey key) const {
  const auto found = waiting_.find(key.workspace);
  if (found == waiting_.end()) return 0;
  const auto line = found->second.lines.find(key.caller);
  return line == found->second.lines.end() ? 0 : line->second.size();
}

double FairQueue::AheadOf(FairQueueKey key, double weight) const {
  if (size_ == 0) return 0;
  const auto found = waiting_.find(key.workspace);
  double in_workspace = 0;
  double other_weight = workspaces_.active_weight();
  if (found != waiting_.end()) {
    const Workspace& workspace = found->second;
    const auto line = workspace.lines.find(key.caller);
    const bool waits = line != workspace.lines.end();
    const size_t own = waits ? line->second.size() : 0;
    const size_t callers = workspace.callers.active() + (waits ? 0 : 1);
    in_workspace =
        std::min<double>(static_cast<double>(workspace.waiting),
                         static_cast<double>(own) +
                             static_cast<double>((own + 1) * (callers - 1)));
    other_weight -= weight;
  }
  const double others =
      (in_workspace + 1) * std::max(other_weight, 0.0) / weight;
  return std::min(static_cast<double>(size_), in_workspace + others);
}

}  // namespace knapweedstile::decide
