#ifndef KNAPWEEDSTILE_WIRE_EVENT_QUEUE_H_
#define KNAPWEEDSTILE_WIRE_EVENT_QUEUE_H_

#include <cstdint>
#include <deque>
#include <utility>

#include "wire/transport.h"

namespace knapweedstile::wire {

// Events on their way to the sink, in order. An event that the sink does not
// take stays at the front.
//
// Failure guarded against: a consumer that stalls must not let memory grow. A
// connection whose events wait here is not read from, so what waits is bounded
// by one read for each connection; TCP then holds the other end back.
class EventQueue {
 public:
  explicit EventQueue(Transport::EventSink sink) : sink_(std::move(sink)) {}

  void Push(TransportEvent&& event) { events_.push_back(std::move(event)); }

  // Hands events over until the sink refuses one; true when none is left. The
  // sink may cause further events, which are handed over by the same call.
  bool Flush() {
    if (flushing_) return events_.empty();
    flushing_ = true;
    while (!events_.empty() && sink_(std::move(events_.front()))) {
      events_.pop_front();
    }
    flushing_ = false;
    if (!events_.empty()) ++delayed_;
    return events_.empty();
  }

  bool empty() const noexcept { return events_.empty(); }
  // How often the sink refused an event.
  uint64_t delayed() const noexcept { return delayed_; }

 private:
  Transport::EventSink sink_;
  std::deque<TransportEvent> events_;
  bool flushing_ = false;
  uint64_t delayed_ = 0;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_EVENT_QUEUE_H_
