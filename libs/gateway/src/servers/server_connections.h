#ifndef KNAPWEEDSTILE_GATEWAY_SERVER_CONNECTIONS_H_
#define KNAPWEEDSTILE_GATEWAY_SERVER_CONNECTIONS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <unordered_map>

#include "base/id.h"
#include "http/client.h"
#include "observe/metrics.h"

namespace knapweedstile::gateway {

// The connections to backend servers. Online requests and batch items share
// them, so that fewer are opened. A response with another request's id is not
// passed on: a faulty server may send a response twice, and the second one
// arrives where that of the next request is expected.
class ServerConnections {
 public:
  using EventSink = std::function<void(http::ClientEvent&&)>;

  // `max_connections`: to all backend servers together.
  ServerConnections(boost::asio::io_context& io, uint32_t max_connections,
                    observe::Metrics& metrics);

  // Returns the ID of the request that is sent next. Its events go to `sink`,
  // which must outlive this object.
  ExchangeId Open(const EventSink& sink);
  void Send(http::ClientRequest&& request);
  // Whether the connections that exist are all in use, and no further one may
  // be opened.
  bool full() const noexcept {
    return client_.open_exchanges() >= max_connections_;
  }
  // Closes the request's connection; no event follows.
  void Cancel(ExchangeId exchange);
  // Closes idle connections to an address whose process has been replaced.
  void CloseIdle(const std::string& address);

 private:
  void OnEvent(http::ClientEvent&& event);
  void RecordSkipped(const http::EndEvent& end);
  void RecordInvalid(const http::EndEvent& end);

  uint32_t max_connections_;
  observe::Metrics& metrics_;
  uint64_t last_exchange_ = 0;
  std::unordered_map<ExchangeId, const EventSink*> sinks_;
  http::Client client_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_SERVER_CONNECTIONS_H_
