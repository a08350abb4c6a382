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
#include "parser_input.h"

namespace knapweedstile::http {

// A caller's connection. Ids are never reused, so a late completion handler
// finds no connection rather than another one.
using ServerConnectionId = Id<struct ServerConnectionTag>;

enum class ServerPhase {
  kIdle,       // no byte of the next request was read
  kHeader,     // reading the start line and header
  kBody,       // reading the body
  kPending,    // the sink has the request, no response yet
  kStreaming,  // the head of a streamed response is queued
  kFinishing,  // the full response is queued, not yet all written
  kLingering,  // sending is shut down; further input is discarded
};

// State of one connection, owned by Server::Impl.
struct ServerConnection {
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  ServerConnection(ServerConnectionId own_id,
                   boost::asio::ip::tcp::socket&& accepted)
      : id(own_id), socket(std::move(accepted)) {}

  // Of requests that are received while one is executed.
  static constexpr size_t kMaxReadAhead = 4 << 10;

  size_t unsent() const noexcept { return out.size() - out_offset; }

  ServerConnectionId id;
  boost::asio::ip::tcp::socket socket;
  ServerPhase phase = ServerPhase::kIdle;
  std::optional<Parser> parser;
  ParserInput input;
  std::string out;  // response bytes; those before out_offset are written
  size_t out_offset = 0;
  ExchangeId exchange;
  TimePoint deadline = kNever;  // of the current phase
  TimePoint received_at;
  // When the caller began its request, last read some of its response, or was
  // last served.
  TimePoint progress_at;
  uint64_t received_bytes = 0;  // by the parser, of this request
  uint64_t header_bytes = 0;    // of these
  // Estimated memory of the request besides its body in the parser.
  uint64_t request_bytes = 0;
  uint64_t held_bytes = 0;  // all memory, counted against max_held_bytes
  unsigned version = 11;
  bool served = false;  // a response was completed
  bool keep_alive = true;
  bool head_request = false;
  bool chunked = false;
  bool discard_input = false;
  bool read_pending = false;
  bool write_pending = false;
  bool read_closed = false;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_CONNECTION_H_
