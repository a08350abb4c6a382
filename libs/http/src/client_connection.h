#ifndef KNAPWEEDSTILE_HTTP_CLIENT_CONNECTION_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <utility>

#include "base/id.h"
#include "base/time.h"

namespace knapweedstile::http {

// Ids are never used twice, so a handler that comes late finds no connection in
// place of a wrong one.
using ClientConnectionId = Id<struct ClientConnectionTag>;

enum class ClientPhase {
  kFailed,      // could not even begin; its end event is on the way
  kConnecting,  // no byte of the request has been written
  kExchange,    // the request is being written or the response read
  kIdle,        // in the pool
};

// State of one connection to a server; Client::Impl holds them.
struct ClientConnection {
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  ClientConnection(ClientConnectionId own_id, boost::asio::io_context& io)
      : id(own_id), socket(io), timer(io) {}

  ClientConnectionId id;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  TimePoint timer_at = kNever;  // what the timer is set to
  ClientPhase phase = ClientPhase::kConnecting;
  std::string address;
  TimePoint deadline = kNever;  // of the phase
  Duration idle_limit{};        // how long it may wait in the pool
  bool read_waiting = false;
  bool write_waiting = false;

  // The exchange in progress.
  ExchangeId exchange;
  TimePoint request_deadline = kNever;
  std::string out;  // request bytes; those before out_offset are written
  size_t out_offset = 0;
  std::optional<Parser> parser;
  std::string unparsed;
  bool any_written = false;
  bool stream_body = false;
  bool head_given = false;
  bool head_request = false;
  std::string failure;  // for people, when phase is kFailed
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_CONNECTION_H_
