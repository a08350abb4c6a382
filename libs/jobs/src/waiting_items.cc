#include "jobs/waiting_items.h"

#include <utility>

#include "jobs/lane_filter.h"

namespace knapweedstile::jobs {

void WaitingItems::Add(OutstandingItem item, int64_t urgency,
                       TimePoint ready_at) {
  delayed_.emplace(ready_at, Entry(urgency, std::move(item)));
}

void WaitingItems::Promote(TimePoint now) {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    auto& [urgency, item] = delayed_.begin()->second;
    Queue& queue = ready_[item.lane];
    queue.emplace(urgency, std::move(item));
    ++ready_count_;
    delayed_.erase(delayed_.begin());
  }
}

const Lane* WaitingItems::MostUrgent(LaneFilter& filter) const {
  const Lane* best = nullptr;
  for (const auto& [lane, queue] : ready_) {
    if (best != nullptr && queue.begin()->first >= UrgencyOf(*best)) continue;
    if (filter.HasRoom(lane)) best = &lane;
  }
  return best;
}

int64_t WaitingItems::UrgencyOf(const Lane& lane) const {
  return ready_.at(lane).begin()->first;
}

OutstandingItem WaitingItems::TakeFirst(const Lane& lane) {
  const auto it = ready_.find(lane);
  Queue& queue = it->second;
  OutstandingItem item = std::move(queue.begin()->second);
  queue.erase(queue.begin());
  --ready_count_;
  if (queue.empty()) ready_.erase(it);
  return item;
}

void WaitingItems::RemoveJob(const std::string& job) {
  std::erase_if(delayed_, [&](const auto& entry) {
    return entry.second.second.job == job;
  });
  for (auto& [lane, queue] : ready_) {
    ready_count_ -= std::erase_if(
        queue, [&](const auto& entry) { return entry.second.job == job; });
  }
  std::erase_if(ready_, [](const auto& lane) { return lane.second.empty(); });
}

void WaitingItems::Clear() {
  delayed_.clear();
  ready_.clear();
  ready_count_ = 0;
}

TimePoint WaitingItems::next_ready() const noexcept {
  return delayed_.empty() ? kNever : delayed_.begin()->first;
}

}  // namespace knapweedstile::jobs
