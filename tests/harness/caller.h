#ifndef KNAPWEEDSTILE_HARNESS_CALLER_H_
#define KNAPWEEDSTILE_HARNESS_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "http/client.h"

namespace knapweedstile::harness {

// What a caller has received of one answer so far.
struct Answer {
  std::optional<http::HeadEvent> head;  // streamed answers only
  std::string streamed;
  std::optional<http::EndEvent> end;
};

// HTTP for tests: many requests at a time on the test's own thread, blocking
// where the test waits.
class Caller {
 public:
  explicit Caller(http::ClientSettings settings = {});

  // Stand-ins of a test may live on it: they then work while the test waits.
  boost::asio::io_context& io() noexcept { return io_; }
  // Sends at once; `request.exchange` is set here.
  ExchangeId Begin(http::ClientRequest&& request);
  // Closes the request's connection.
  void Cancel(ExchangeId exchange) { client_.Cancel(exchange); }
  const Answer& answer(ExchangeId exchange) {
    return answers_[exchange.value()];
  }

  // Works until `done`; false at the limit, which is far beyond what any step
  // needs.
  bool RunUntil(const std::function<bool()>& done);
  bool RunUntilEnd(ExchangeId exchange);
  void RunFor(std::chrono::milliseconds time);
  // Sends and waits for the end.
  http::EndEvent Call(http::ClientRequest&& request);
  http::EndEvent Get(const std::string& address, const std::string& target);
  http::EndEvent Post(const std::string& address, const std::string& target,
                      const std::string& body);
  http::EndEvent Put(const std::string& address, const std::string& target,
                     const std::string& body);
  // Asks again until `good`; false at the limit.
  bool GetUntil(const std::string& address, const std::string& target,
                const std::function<bool(const http::EndEvent&)>& good);

 private:
  void Take(http::ClientEvent&& event);

  boost::asio::io_context io_{1};
  uint64_t last_ = 0;
  std::map<uint64_t, Answer> answers_;
  http::Client client_;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_CALLER_H_
