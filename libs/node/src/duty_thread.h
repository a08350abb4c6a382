#ifndef KNAPWEEDSTILE_NODE_DUTY_THREAD_H_
#define KNAPWEEDSTILE_NODE_DUTY_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

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
