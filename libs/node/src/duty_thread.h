#ifndef KNAPWEEDSTILE_NODE_DUTY_THREAD_H_
#define KNAPWEEDSTILE_NODE_DUTY_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <thread>

#include "base/clock.h"
#include "base/time.h"

namespace knapweedstile::node {

// One thread for one duty, running its own io_context until stopped.
class DutyThread {
 public:
  DutyThread() : io_(1), work_(boost::asio::make_work_guard(io_)) {}
  ~DutyThread() { Stop(); }
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  boost::asio::io_context& io() noexcept { return io_; }
  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }
  // Runs `condition` on this duty's thread until it holds; false when it did
  // not by `deadline`. Blocks; from another thread.
  bool PollUntil(TimePoint deadline, const std::function<bool()>& condition) {
    constexpr std::chrono::milliseconds kPoll{5};
    for (;;) {
      std::promise<bool> holds;
      boost::asio::post(io_, [&] { holds.set_value(condition()); });
      if (holds.get_future().get()) return true;
      if (MonotonicNow() >= deadline) return false;
      std::this_thread::sleep_for(kPoll);
    }
  }
  // Blocks until the handler that runs now is done. Not from its own thread.
  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_DUTY_THREAD_H_
