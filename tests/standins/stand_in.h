#ifndef KNAPWEEDSTILE_STANDINS_STAND_IN_H_
#define KNAPWEEDSTILE_STANDINS_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>

#include "http/server.h"

namespace knapweedstile::standins {

// A stand-in process: one thread, one HTTP server, ended by SIGTERM or SIGINT.
// It keeps no promise beyond its process: what it holds is gone with it.
class StandIn {
 public:
  using OnRequest = std::function<void(const http::RequestEvent&)>;
  using OnDisconnect = std::function<void(ExchangeId)>;

  explicit StandIn(std::string name);

  boost::asio::io_context& io() noexcept { return io_; }
  http::Server& server() noexcept { return *server_; }

  // Listens and prints `KEY=IP:PORT`; false when it cannot.
  bool Announce(const std::string& key, const std::string& listen);
  // Works until the signal; the process's exit code.
  int Run(OnRequest on_request, OnDisconnect on_disconnect = {});

  void Respond(ExchangeId exchange, unsigned status, std::string body,
               http::HeaderList headers = {});
  void RespondJson(ExchangeId exchange, unsigned status,
                   const boost::json::value& body,
                   http::HeaderList headers = {});
  void RespondError(ExchangeId exchange, unsigned status,
                    const std::string& message, http::HeaderList headers = {});
  // Runs `work` after `delay`; at once when it is zero.
  void After(std::chrono::microseconds delay, std::function<void()> work);

 private:
  std::string name_;
  boost::asio::io_context io_{1};
  OnRequest on_request_;
  OnDisconnect on_disconnect_;
  std::unique_ptr<http::Server> server_;
};

// Prints `KEY=HOST:PORT`, for who started the process.
void PrintAddress(const std::string& key, const std::string& host,
                  uint16_t port);

// The object in `text`, or an empty one when it is not a JSON object.
boost::json::object ParseObject(const std::string& text);
// The whole number under `key`, or `absent`.
int64_t IntOr(const boost::json::object& object, std::string_view key,
              int64_t absent);
// The string under `key`, or an empty one.
std::string StringOr(const boost::json::object& object, std::string_view key);

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_STAND_IN_H_
