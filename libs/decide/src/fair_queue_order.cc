#include "fair_queue_order.h"

#include <algorithm>

namespace knapweedstile::decide {
namespace {

// Inactive flows kept before passed ones are dropped. Only memory depends on
// it (48 bytes a flow), so it is not measured.
constexpr size_t kRememberedFlows = 256;

}  // namespace

void FairQueueOrder::Activate(uint64_t flow, double weight) {
  Flow& entry = flows_[flow];
  if (entry.active) return;
  entry.start = std::max(entry.start, virtual_time_);
  entry.weight = weight;
  entry.active = true;
  active_weight_ += weight;
  order_.emplace(entry.start, flow);
}

void FairQueueOrder::Deactivate(uint64_t flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || !found->second.active) return;
  order_.erase({found->second.start, flow});
  found->second.active = false;
  active_weight_ -= found->second.weight;
  ForgetPassedFlows();
}

void FairQueueOrder::Serve(uint64_t flow, double cost, bool more) {
  Flow& entry = flows_[flow];
  order_.erase({entry.start, flow});
  virtual_time_ = std::max(virtual_time_, entry.start);
  entry.start += cost / entry.weight;
  if (more) {
    order_.emplace(entry.start, flow);
    return;
  }
  entry.active = false;
  active_weight_ -= entry.weight;
  ForgetPassedFlows();
}

void FairQueueOrder::ForgetPassedFlows() {
  if (flows_.size() < order_.size() + kRememberedFlows) return;
  std::erase_if(flows_, [this](const auto& item) {
    return !item.second.active && item.second.start <= virtual_time_;
  });
  if (flows_.size() < order_.size() + kRememberedFlows) return;
  // Many flows ahead of the virtual time: forgive them rather than grow.
  std::erase_if(flows_, [](const auto& item) { return !item.second.active; });
}

}  // namespace knapweedstile::decide
