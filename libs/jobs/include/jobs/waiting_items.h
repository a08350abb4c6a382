#ifndef KNAPWEEDSTILE_JOBS_WAITING_ITEMS_H_
#define KNAPWEEDSTILE_JOBS_WAITING_ITEMS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "jobs/partial_output.h"

namespace knapweedstile::jobs {

// An item outside its input segment: in flight, or waiting to go out again.
struct OutstandingItem {
  std::string job;  // the id's hash
  uint32_t index = 0;
  std::string custom_id;
  std::string body;
  PartialOutput partial;
};

// Items that wait to go out again, by urgency once their time has come.
class WaitingItems {
 public:
  void Add(OutstandingItem item, int64_t urgency, TimePoint ready_at);
  // Makes the items ready whose time has come.
  void Promote(TimePoint now);
  // The most urgent ready item; lower is more urgent.
  std::optional<int64_t> FrontUrgency() const;
  OutstandingItem TakeFront();
  void RemoveJob(const std::string& job);
  void Clear();

  size_t size() const noexcept { return delayed_.size() + ready_.size(); }
  TimePoint next_ready() const noexcept;

 private:
  using Entry = std::pair<int64_t, OutstandingItem>;

  std::multimap<TimePoint, Entry> delayed_;
  std::multimap<int64_t, OutstandingItem> ready_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_WAITING_ITEMS_H_
