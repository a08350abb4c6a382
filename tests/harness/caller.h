#ifndef KNAPWEEDSTILE_HARNESS_CALLER_H_
#define KNAPWEEDSTILE_HARNESS_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "http/client.h"

namespace knapweedstile::harness {

// What a caller has received of one response so far.
struct Answer {
  std::optional<http::HeadEvent> head;  // streamed responses only
  std::string streamed;
  std::optional<http::EndEvent> end;
};

// HTTP client for tests: runs many requests at a time on the test's own thread
// and blocks where the test waits.
class Caller {
 public:
  explicit Caller(http::ClientSettings settings = {});

  // Stand-ins that use this io_context run while the test waits.
  boost::asio::io_context& io() noexcept { return io_; }
  // Sends at once; sets `request.exchange`.
  ExchangeId Begin(http::ClientRequest&& request);
  // Closes the request's connection.
  void Cancel(ExchangeId exchange) { client_.Cancel(exchange); }
  const Answer& answer(ExchangeId exchange) {
    return answers_[exchange.value()];
  }

  // Runs the io_context until `done`; false at the timeout, which is far longer
  // than any step takes.
  bool RunUntil(const std::function<bool()>& done);
  bool RunUntilEnd(ExchangeId exchange);
  void RunFor(std::chrono::milliseconds time);
  // Sends the request and waits for the end of its response.
  http::EndEvent Call(http::ClientRequest&& request);
  http::EndEvent Get(const std::string& address, const std::string& target);
  http::EndEvent Post(const std::string& address, const std::string& target,
                      const std::string& body);
  http::EndEvent Put(const std::string& address, const std::string& target,
                     const std::string& body);
  // Repeats the request until `condition` holds; false at the timeout.
  bool GetUntil(const std::string& address, const std::string& target,
                const std::function<bool(const http::EndEvent&)>& condition);

 private:
  void OnEvent(http::ClientEvent&& event);

  boost::asio::io_context io_{1};
  uint64_t last_exchange_ = 0;
  std::map<uint64_t, Answer> answers_;
  http::Client client_;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_CALLER_H_
