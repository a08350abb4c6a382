#ifndef KNAPWEEDSTILE_NODE_OUTBOX_H_
#define KNAPWEEDSTILE_NODE_OUTBOX_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "base/channel.h"

namespace knapweedstile::node {

// Commands from the decision thread to another duty. A response must not be
// lost because a ring is full for a moment, so what does not fit waits here, in
// order, and is counted.
//
// Failure guarded against: a duty that stalls for good. What waits is bounded
// by what has been admitted: every command belongs to a request, a peer or a
// platform call, each of which has its own bound, and Flush is called at each
// step so that the wait ends as soon as the duty goes on.
template <typename T>
class Outbox {
 public:
  Outbox(size_t capacity, boost::asio::io_context& consumer,
         typename Channel<T>::Handler handler)
      : channel_(capacity, consumer, std::move(handler)) {}

  void Push(T&& message) {
    Flush();
    if (waiting_.empty() && channel_.TryPush(std::move(message))) return;
    // A refused message is left untouched by TryPush.
    waiting_.push_back(std::move(message));  // NOLINT(bugprone-use-after-move)
  }

  void Flush() {
    while (!waiting_.empty() && channel_.TryPush(std::move(waiting_.front()))) {
      waiting_.pop_front();
    }
  }

  // Nothing is waiting on either side. On the consumer's thread, once the
  // producer has stopped.
  bool Empty() const noexcept {
    return waiting_.empty() && channel_.pending() == 0;
  }
  size_t waiting() const noexcept { return waiting_.size(); }
  uint64_t refused() const noexcept { return channel_.refused(); }

 private:
  Channel<T> channel_;
  std::deque<T> waiting_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_OUTBOX_H_
