#ifndef KNAPWEEDSTILE_HTTP_SERVER_CONNECTION_H_
#define KNAPWEEDSTILE_HTTP_SERVER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <utility>

#include "base/id.h"
#include "base/time.h"

namespace knapweedstile::http {

// A caller's connection. Ids are never used twice, so a handler that comes late
// finds no connection in place of a wrong one.
using ServerConnectionId = Id<struct ServerConnectionTag>;

enum class ServerPhase {
  kIdle,       // no byte of a request yet
  kHeader,     // reading the start line and header
  kBody,       // reading the body
  kPending,    // the request is with the asker
  kStreaming,  // the head of a chunked response has been given
  kFinishing,  // the whole response has been given, not yet all written
  kLingering,  // our side is shut down; what still arrives is discarded
};

// State of one connection; Server::Impl holds them and acts on them.
struct ServerConnection {
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  ServerConnection(ServerConnectionId own_id,
                   boost::asio::ip::tcp::socket&& accepted)
      : id(own_id), socket(std::move(accepted)) {}

  size_t unsent() const noexcept { return out.size() - out_offset; }

  ServerConnectionId id;
  boost::asio::ip::tcp::socket socket;
  ServerPhase phase = ServerPhase::kIdle;
  std::optional<Parser> parser;
  std::string unparsed;  // read, not yet taken by the parser
  std::string out;       // response bytes; those before out_offset are written
  size_t out_offset = 0;
  ExchangeId exchange;
  TimePoint deadline = kNever;  // what happens then depends on the phase
  TimePoint received_at;
  uint64_t held_body = 0;  // counted against max_total_body_bytes
  unsigned version = 11;
  bool keep_alive = true;
  bool head_request = false;
  bool chunked = false;
  bool discard_input = false;
  bool read_waiting = false;
  bool write_waiting = false;
  bool read_closed = false;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_CONNECTION_H_
