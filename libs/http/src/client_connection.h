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
#include "parser_input.h"

namespace knapweedstile::http {

// Ids are never reused, so a late completion handler finds no connection rather
// than another one.
using ClientConnectionId = Id<struct ClientConnectionTag>;

enum class ClientPhase {
  kFailed,      // not sendable; the EndEvent is scheduled
  kConnecting,  // no byte of the request has been written
  kExchange,    // the request is being written or the response read
  kIdle,        // in the pool
};

// State of one connection to a server, owned by Client::Impl.
struct ClientConnection {
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  ClientConnection(ClientConnectionId own_id, boost::asio::io_context& io)
      : id(own_id), socket(io), timer(io) {}

  ClientConnectionId id;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  TimePoint timer_at = kNever;  // expiry of `timer`
  ClientPhase phase = ClientPhase::kConnecting;
  std::string address;
  TimePoint deadline = kNever;  // of the current phase
  Duration idle_limit{};        // maximum time in the pool
  // Whether an async_wait for the socket is outstanding.
  bool read_pending = false;
  bool write_pending = false;

  // The current exchange.
  ExchangeId exchange;
  TimePoint request_deadline = kNever;
  std::string out;  // request bytes; those before out_offset are written
  size_t out_offset = 0;
  std::optional<Parser> parser;
  ParserInput input;
  bool any_written = false;
  bool write_failed = false;  // after the first bytes
  bool stream_body = false;
  bool head_delivered = false;
  bool head_request = false;
  std::string echoed_field;
  std::string echoed_value;  // empty: responses are not identified
  // Of the response that is being parsed.
  bool head_valid = false;
  bool identified = false;
  bool skipping = false;  // it answers another request
  uint32_t skipped_responses = 0;
  uint32_t interim_responses = 0;
  uint64_t received_bytes = 0;   // by the parser, over all responses
  uint64_t body_bytes = 0;       // of these, those of bodies
  uint64_t discarded_bytes = 0;  // of these, those of skipped responses
  uint64_t buffered_bytes = 0;   // of a body that is delivered whole
  std::string failure;           // for humans, when phase is kFailed
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_CONNECTION_H_
