#ifndef KNAPWEEDSTILE_JOBS_WAITING_ITEMS_H_
#define KNAPWEEDSTILE_JOBS_WAITING_ITEMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "jobs/lane.h"
#include "jobs/outstanding_item.h"

namespace knapweedstile::jobs {

class LaneFilter;

// Items that wait to go out again, by urgency within their lane once their time
// has come.
class WaitingItems {
 public:
  // Lower is more urgent.
  void Add(OutstandingItem item, int64_t urgency, TimePoint ready_at);
  // Makes the items ready whose time has come.
  void Promote(TimePoint now);
  // The lane with the most urgent ready item among those with room, or null.
  const Lane* MostUrgent(LaneFilter& filter) const;
  // Of the first ready item of a lane that MostUrgent() gave.
  int64_t UrgencyOf(const Lane& lane) const;
  OutstandingItem TakeFirst(const Lane& lane);
  void RemoveJob(const std::string& job);
  void Clear();

  size_t size() const noexcept { return delayed_.size() + ready_count_; }
  TimePoint next_ready() const noexcept;

 private:
  using Entry = std::pair<int64_t, OutstandingItem>;
  using Queue = std::multimap<int64_t, OutstandingItem>;

  std::multimap<TimePoint, Entry> delayed_;
  std::map<Lane, Queue> ready_;  // no empty queues
  size_t ready_count_ = 0;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_WAITING_ITEMS_H_
