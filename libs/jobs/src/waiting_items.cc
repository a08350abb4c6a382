#include "jobs/waiting_items.h"

#include <utility>

namespace knapweedstile::jobs {

void WaitingItems::Add(OutstandingItem item, int64_t urgency,
                       TimePoint ready_at) {
  delayed_.emplace(ready_at, Entry(urgency, std::move(item)));
}

void WaitingItems::Promote(TimePoint now) {
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    Entry& entry = delayed_.begin()->second;
    ready_.emplace(entry.first, std::move(entry.second));
    delayed_.erase(delayed_.begin());
  }
}

std::optional<int64_t> WaitingItems::FrontUrgency() const {
  if (ready_.empty()) return std::nullopt;
  return ready_.begin()->first;
}

OutstandingItem WaitingItems::TakeFront() {
  OutstandingItem item = std::move(ready_.begin()->second);
  ready_.erase(ready_.begin());
  return item;
}

void WaitingItems::RemoveJob(const std::string& job) {
  std::erase_if(delayed_, [&](const auto& entry) {
    return entry.second.second.job == job;
  });
  std::erase_if(ready_,
                [&](const auto& entry) { return entry.second.job == job; });
}

void WaitingItems::Clear() {
  delayed_.clear();
  ready_.clear();
}

TimePoint WaitingItems::next_ready() const noexcept {
  return delayed_.empty() ? kNever : delayed_.begin()->first;
}

}  // namespace knapweedstile::jobs
