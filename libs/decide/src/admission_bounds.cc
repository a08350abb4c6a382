#include "admission_bounds.h"

#include <algorithm>

#include "base/hash.h"
#include "decide/entry_settings.h"
#include "entry_invariant.h"

namespace knapweedstile::decide {
namespace {

uint64_t CallerOf(FairQueueKey key) {
  return HashCombine(key.workspace, key.caller);
}

}  // namespace

AdmissionBounds::AdmissionBounds(const EntrySettings& settings)
    : settings_(settings) {}

std::optional<RefusalReason> AdmissionBounds::Refuses(
    TrafficClass traffic_class, FairQueueKey key) const {
  if (waiting(traffic_class) >= settings_.queue_limit) {
    return RefusalReason::kQueueFull;
  }
  if (traffic_class == TrafficClass::kBatch || !settings_.rules.fair_queue) {
    return std::nullopt;
  }
  const size_t of_workspace = CountOf(online_of_workspace_, key.workspace);
  const size_t workspace_room = std::min<size_t>(
      settings_.workspace_queue_limit, settings_.queue_limit - online_);
  if (of_workspace >= workspace_room) return RefusalReason::kFairShare;
  // A workspace that does not tell its callers apart has one flow.
  if (key.caller == 0) return std::nullopt;
  const size_t caller_room = settings_.workspace_queue_limit - of_workspace;
  if (CountOf(online_of_caller_, CallerOf(key)) >= caller_room) {
    return RefusalReason::kFairShare;
  }
  return std::nullopt;
}

size_t AdmissionBounds::waiting(TrafficClass traffic_class) const noexcept {
  return traffic_class == TrafficClass::kOnline ? online_ : batch_;
}

void AdmissionBounds::Add(TrafficClass traffic_class, FairQueueKey key) {
  if (traffic_class == TrafficClass::kBatch) {
    ++batch_;
    RequireInvariant(batch_ <= settings_.queue_limit, "batch queue bound");
    return;
  }
  ++online_;
  ++online_of_workspace_[key.workspace];
  ++online_of_caller_[CallerOf(key)];
  RequireInvariant(online_ <= settings_.queue_limit, "online queue bound");
}

void AdmissionBounds::Remove(TrafficClass traffic_class, FairQueueKey key) {
  if (traffic_class == TrafficClass::kBatch) {
    RequireInvariant(batch_ > 0, "a batch item that left had waited");
    --batch_;
    return;
  }
  RequireInvariant(online_ > 0, "a request that left had waited");
  --online_;
  Decrement(online_of_workspace_, key.workspace);
  Decrement(online_of_caller_, CallerOf(key));
}

size_t AdmissionBounds::CountOf(const Counts& counts, uint64_t key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

void AdmissionBounds::Decrement(Counts& counts, uint64_t key) {
  const auto found = counts.find(key);
  RequireInvariant(found != counts.end(), "a request that left was counted");
  if (--found->second == 0) counts.erase(found);
}

}  // namespace knapweedstile::decide
