#ifndef KNAPWEEDSTILE_OBSERVE_TIMELINE_H_
#define KNAPWEEDSTILE_OBSERVE_TIMELINE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "observe/timeline_event.h"

namespace knapweedstile::observe {

// The last events of one process, bounded: the oldest fall out. Owned by one
// thread. Readers page through it by sequence and see gaps as skipped numbers.
class Timeline {
 public:
  explicit Timeline(size_t capacity) : capacity_(capacity) {}

  // `event.sequence` is assigned here.
  void Record(TimelineEvent event);

  // At most `limit` events with a sequence above `after`, as a JSON array.
  std::string EventsJson(uint64_t after, size_t limit) const;
  uint64_t last_sequence() const noexcept { return last_sequence_; }

 private:
  size_t capacity_;
  uint64_t last_sequence_ = 0;
  std::deque<TimelineEvent> events_;
};

}  // namespace knapweedstile::observe

#endif  // KNAPWEEDSTILE_OBSERVE_TIMELINE_H_
