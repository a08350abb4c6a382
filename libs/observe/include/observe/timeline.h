#ifndef KNAPWEEDSTILE_OBSERVE_TIMELINE_H_
#define KNAPWEEDSTILE_OBSERVE_TIMELINE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "observe/timeline_event.h"

namespace knapweedstile::observe {

// A bounded buffer of the latest events of one process; the oldest are
// discarded. Owned by one thread. Readers page through it by sequence number
// and detect discarded events as gaps.
class Timeline {
 public:
  explicit Timeline(size_t capacity) : capacity_(capacity) {}

  // Appends `event` and assigns its sequence number.
  void Record(TimelineEvent event);

  // The first `limit` events with a sequence number above `after`, as a JSON
  // array.
  std::string EventsJson(uint64_t after, size_t limit) const;
  uint64_t last_sequence() const noexcept { return last_sequence_; }

 private:
  size_t capacity_;
  uint64_t last_sequence_ = 0;
  std::deque<TimelineEvent> events_;
};

}  // namespace knapweedstile::observe

#endif  // KNAPWEEDSTILE_OBSERVE_TIMELINE_H_
