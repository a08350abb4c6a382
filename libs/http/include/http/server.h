#ifndef KNAPWEEDSTILE_HTTP_SERVER_H_
#define KNAPWEEDSTILE_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "http/server_settings.h"

namespace knapweedstile::http {

// HTTP/1.1 server over Boost.Beast. Every call and every event happens on the
// thread of `io`. The server itself rejects requests that exceed a limit (400,
// 408, 413, 431, 503) with an error object in the OpenAI format; they cause no
// event.
class Server {
 public:
  // Returns false when the event cannot be accepted now. The server then
  // responds to a request with 503 and Retry-After, marked as not run, and
  // delivers a disconnect again later.
  using EventSink = std::function<bool(ServerEvent&&)>;

  Server(boost::asio::io_context& io, const ServerSettings& settings,
         EventSink sink);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Listens on `address` ("IP:PORT"; port 0 picks a free one). Returns the
  // bound port, or kInvalid or kUnavailable.
  Result<uint16_t> Listen(const std::string& address);
  // Asked for each new connection; one that is not admitted is closed unread.
  void SetConnectionFilter(std::function<bool()> admits);
  // Ignored when the exchange has ended.
  void Execute(ServerCommand&& command);
  // Applies to requests that begin after the call. Sizes are in bytes.
  void SetLimits(uint32_t max_header_bytes, uint64_t max_body_bytes,
                 std::chrono::milliseconds header_timeout,
                 std::chrono::milliseconds idle_timeout);
  // Adds `Connection: close` to every response from now on. New connections are
  // still accepted, from callers that have not switched over yet.
  void BeginDraining();
  // Graceful shutdown: stops listening, completes exchanges in flight with
  // `Connection: close`, and closes idle connections after a short grace
  // period.
  void StopAccepting();
  // Closes all remaining connections at once; no events follow.
  void Close();

  // Number of exchanges whose response is not complete.
  size_t open_exchanges() const noexcept;
  size_t open_connections() const noexcept;
  // Memory counted against max_held_bytes.
  uint64_t held_bytes() const noexcept;
  // Number of requests and responses given up for want of memory or places.
  uint64_t gave_way() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_H_
