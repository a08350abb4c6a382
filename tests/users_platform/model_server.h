#ifndef KNAPWEEDSTILE_USERS_SITE_MODEL_SERVER_H_
#define KNAPWEEDSTILE_USERS_SITE_MODEL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/server.h"

namespace knapweedstile::users_site {

// Stand-in of a backend server of the users: streams numbered events in
// response to POST, responds to GET at once, checks which instance a request is
// meant for, and injects the faults that a test sets. Runs on the test's
// io_context.
class ModelServer {
 public:
  struct Run {
    std::string request_id;
    std::string target;
    std::string body;
    http::HeaderList headers;
    uint64_t first_event = 1;
    bool cancelled = false;  // the connection was closed before the end
    bool complete = false;
    std::string instance;  // that ran the request
    std::string software;  // its version
    TimePoint started_at{};
    TimePoint ended_at = kNever;  // completed, broken or cancelled
    unsigned status = 0;          // of a response without a stream
  };

  ModelServer(boost::asio::io_context& io, std::string instance);

  const std::string& address() const noexcept { return address_; }
  const std::string& instance() const noexcept { return instance_; }
  const std::vector<Run>& runs() const noexcept { return runs_; }

  // Version of the server's software, for its registration.
  std::string software = "v1";

  // Events of one stream and the time between two of them.
  int events = 5;
  std::chrono::milliseconds event_interval{2};
  // Data of the event `number` of a stream, in place of the usual text.
  std::function<std::string(const std::string& target, uint64_t number)>
      event_data;
  // Delay before the first byte of a response.
  std::chrono::milliseconds first_byte_delay{0};

  // Faults of the next requests; each use decrements its count.
  int reject_next = 0;         // 503 with Not-Executed
  int fail_next = 0;           // 500 after the request ran
  int unprocessable_next = 0;  // 422: can never succeed
  int break_after = 0;         // aborts one stream after this many events
  int unsigned_next = 0;       // a response without a signature
  int wrong_id_next = 0;       // a response with the id of another request
  std::string crash_body;      // a request with this body aborts the connection
  // Streams of requests with this prompt part, but as their last one, crash the
  // server in the middle of an event.
  std::string crash_part;
  std::function<void()> on_crash;
  bool address_reused = false;  // 421: another server has the address

  // Concurrent requests; zero is unlimited. Others are queued in order of
  // arrival and rejected once kMaxQueuedStreams wait.
  int slots = 0;
  // Streams repeat the words of the prompt, like an OpenAI-compatible engine
  // that echoes.
  bool completions = false;
  // Responds to POST at once, as to GET.
  bool unstreamed_posts = false;

  // Added to the data of each event of a stream for a request with this body.
  std::function<std::string(const std::string& body)> event_padding;

  // Adds the request id to each event and plain response, and the software
  // version to each event.
  bool name_requests = false;
  // Requests with these bodies always end with 422 and with 500.
  std::string unprocessable_body;
  std::string failing_body;

  // Simulates a new process at the same address: aborts all running streams.
  void Restart(std::string instance);

 private:
  static constexpr size_t kMaxQueuedStreams = 24;

  struct Stream {
    size_t run = 0;
    uint64_t next = 1;
    std::vector<std::string> words;  // of a completion
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  bool OnEvent(http::ServerEvent&& event);
  std::string WithRequestId(const std::string& text, const Run& run) const;
  void OnRequest(const http::RequestEvent& request);
  bool RespondWithFault(const http::RequestEvent& request);
  void QueueStream(const http::RequestEvent& request);
  void StartInSlot(ExchangeId exchange);
  void EndStream(ExchangeId exchange);
  std::string EventData(const Stream& stream) const;
  void StartStream(ExchangeId exchange);
  void SendEvent(ExchangeId exchange);
  // Sends part of an event.
  void SendPartialEvent(ExchangeId exchange, const std::string& number);
  bool Crashes(const Run& run) const;
  http::HeaderList ResponseHeaders(const std::string& request_id) const;

  boost::asio::io_context& io_;
  http::Server server_;
  std::string address_;
  std::string instance_;
  std::vector<Run> runs_;
  std::map<ExchangeId, Stream> streams_;
  std::deque<ExchangeId> queued_;  // streams that wait for a slot
  int running_ = 0;
};

}  // namespace knapweedstile::users_site

#endif  // KNAPWEEDSTILE_USERS_SITE_MODEL_SERVER_H_
