#ifndef KNAPWEEDSTILE_HTTP_CLIENT_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/id.h"
#include "http/client_event.h"
#include "http/client_request.h"
#include "http/client_settings.h"

namespace knapweedstile::http {

// HTTP/1.1 client over Boost.Beast with a small pool of idle connections for
// each address. Used only on the thread of `io`.
//
// Guards against a pooled connection that the server has just closed: a request
// that fails on a reused connection before any response byte is reported as
// kLost unless no byte of it was written. The client never retries a request.
class Client {
 public:
  using EventSink = std::function<void(ClientEvent&&)>;

  Client(boost::asio::io_context& io, const ClientSettings& settings,
         EventSink sink);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts an exchange. Events follow on the sink, never from inside Send();
  // the last is an EndEvent.
  void Send(ClientRequest&& request);
  // Closes the exchange's connection; no event follows.
  void Cancel(ExchangeId exchange);
  // Closes all idle connections.
  void Close();
  // Closes the idle connections to `address`. To be called when the process
  // there was replaced: a request on an old connection would be lost.
  void CloseIdle(const std::string& address);

  // Number of exchanges without an EndEvent.
  size_t open_exchanges() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_H_
