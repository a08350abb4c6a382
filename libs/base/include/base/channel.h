#ifndef KNAPWEEDSTILE_BASE_CHANNEL_H_
#define KNAPWEEDSTILE_BASE_CHANNEL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace knapweedstile {

// A bounded ring from the thread of one duty to the thread of another, which
// runs an io_context. The producer wakes the consumer at most once for each
// batch of messages.
//
// Failure guarded against: a consumer that stalls must not let memory grow. A
// full ring refuses the message; the producer counts it and answers its own
// caller, so the back pressure is seen outside.
template <typename T>
class Channel {
 public:
  using Handler = std::function<void(T&&)>;

  // `consumer` runs `handler` for each message, on its own thread.
  Channel(size_t capacity, boost::asio::io_context& consumer, Handler handler)
      : ring_(capacity), consumer_(consumer), handler_(std::move(handler)) {}

  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() {
    ring_.consume_all([](T* message) { delete message; });
  }

  // Called by the producing thread only. False when the ring is full; the
  // message is then left untouched.
  [[nodiscard]] bool TryPush(T&& message) {
    if (ring_.write_available() == 0) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    ring_.push(new T(std::move(message)));
    if (!wake_pending_.exchange(true, std::memory_order_acq_rel)) {
      boost::asio::post(consumer_, [this] { Drain(); });
    }
    return true;
  }

  // Messages not handled yet. On the consumer's thread.
  size_t pending() const noexcept { return ring_.read_available(); }

  // Messages refused since the start, for the metrics.
  uint64_t refused() const noexcept {
    return refused_.load(std::memory_order_relaxed);
  }

 private:
  // Messages handled before the consumer's other work gets a turn.
  static constexpr size_t kBurst = 256;

  void Drain() {
    // Cleared before reading: a message pushed after the last read posts again.
    wake_pending_.store(false, std::memory_order_release);
    for (size_t i = 0; i < kBurst; ++i) {
      T* raw = nullptr;
      if (!ring_.pop(raw)) return;
      const std::unique_ptr<T> message(raw);
      handler_(std::move(*message));
    }
    if (!wake_pending_.exchange(true, std::memory_order_acq_rel)) {
      boost::asio::post(consumer_, [this] { Drain(); });
    }
  }

  // spsc_queue copies its elements (Boost 1.81), so it carries pointers; the
  // ring owns those between push and pop.
  boost::lockfree::spsc_queue<T*> ring_;
  boost::asio::io_context& consumer_;
  Handler handler_;
  std::atomic<bool> wake_pending_{false};
  std::atomic<uint64_t> refused_{0};
};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_BASE_CHANNEL_H_
