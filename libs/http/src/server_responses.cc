#include <boost/asio/post.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "message_text.h"
#include "server_impl.h"

// The part of Server::Impl that writes responses.
namespace knapweedstile::http {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// How long the input of a connection is discarded after its last response.
// Closing at once while the caller still sends would make the kernel reset the
// connection, and the caller would lose a response that explains the rejection.
constexpr std::chrono::seconds kLingerTime{2};

bool HasNoBody(unsigned status) noexcept {
  return status == 204 || status == 304;
}

}  // namespace

void Server::Impl::Execute(ServerCommand&& command) {
  std::visit([this](auto&& c) { Run(std::forward<decltype(c)>(c)); },
             std::move(command));
}

void Server::Impl::Run(RespondCommand&& command) {
  Connection* connection = FindExchange(command.exchange);
  if (!connection || connection->phase != ServerPhase::kPending) return;
  if (draining_) connection->keep_alive = false;
  const bool no_body = HasNoBody(command.status);
  connection->out += ResponseHead(command.status, command.headers,
                                  {.version = connection->version,
                                   .keep_alive = connection->keep_alive,
                                   .has_length = !no_body,
                                   .length = command.body.size()});
  if (!no_body && !connection->head_request) connection->out += command.body;
  connection->phase = ServerPhase::kFinishing;
  connection->progress_at = MonotonicNow();
  Flush(*connection);
  MakeRoom();
}

void Server::Impl::Run(BeginStreamCommand&& command) {
  Connection* connection = FindExchange(command.exchange);
  if (!connection || connection->phase != ServerPhase::kPending) return;
  connection->chunked = connection->version >= 11;
  // HTTP/1.0 has no chunks: the end of the connection ends the stream.
  if (draining_ || !connection->chunked) connection->keep_alive = false;
  connection->out += ResponseHead(command.status, command.headers,
                                  {.version = connection->version,
                                   .keep_alive = connection->keep_alive,
                                   .chunked = connection->chunked});
  connection->phase = ServerPhase::kStreaming;
  connection->progress_at = MonotonicNow();
  Flush(*connection);
}

// Guards against unbounded memory when a caller reads its stream more slowly
// than it is produced: beyond the limit of unsent bytes the connection is
// closed and a DisconnectEvent delivered, since no part of a stream can be
// dropped.
void Server::Impl::Run(StreamChunkCommand&& command) {
  Connection* connection = FindExchange(command.exchange);
  if (!connection || connection->phase != ServerPhase::kStreaming) return;
  if (connection->unsent() == 0) connection->progress_at = MonotonicNow();
  const bool body = !connection->head_request;
  if (body && !command.data.empty()) {
    if (connection->chunked) {
      AppendChunk(connection->out, command.data);
    } else {
      connection->out += command.data;
    }
  }
  if (command.last) {
    if (body && connection->chunked) AppendLastChunk(connection->out);
    connection->phase = ServerPhase::kFinishing;
  }
  const ServerConnectionId id = connection->id;
  Flush(*connection);
  connection = Find(id);
  if (connection && connection->phase == ServerPhase::kStreaming &&
      connection->unsent() > settings_.max_unsent_bytes) {
    LogWarning("stream_reader_too_slow", {{"unsent", connection->unsent()}});
    asio::post(io_, MakeHandler(id, &Impl::CloseDisconnected));
  }
  MakeRoom();
}

void Server::Impl::Run(AbortCommand&& command) {
  if (Connection* connection = FindExchange(command.exchange)) {
    Erase(*connection);
  }
}

void Server::Impl::Reject(Connection& connection, unsigned status,
                          std::string_view code, std::string_view message) {
  const bool overload = status == 503;
  HeaderList headers;
  headers.Add("Content-Type", "application/json");
  if (overload) headers.Add("Retry-After", kRetryAfterSeconds);
  const std::string body = ErrorBody(
      overload ? "overloaded_error" : "invalid_request_error", code, message);
  connection.out +=
      ResponseHead(
          status, headers,
          {.keep_alive = false, .has_length = true, .length = body.size()}) +
      body;
  connection.keep_alive = false;
  connection.discard_input = true;
  connection.input.Clear();
  connection.parser.reset();
  connection.request_bytes = 0;
  connection.phase = ServerPhase::kFinishing;
  connection.progress_at = MonotonicNow();
  Flush(connection);
}

void Server::Impl::Flush(Connection& connection) {
  while (connection.unsent() > 0) {
    error_code ec;
    const size_t count = connection.socket.write_some(
        asio::buffer(connection.out) + connection.out_offset, ec);
    connection.out_offset += count;
    if (!ec) continue;
    if (ec != asio::error::would_block) {
      // Deferred: Flush() may run inside Execute(), and the connection must not
      // be erased there.
      asio::post(io_, MakeHandler(connection.id, &Impl::CloseDisconnected));
      return;
    }
    if (connection.out_offset > 0) connection.progress_at = MonotonicNow();
    connection.out.erase(0, std::exchange(connection.out_offset, 0));
    if (connection.phase >= ServerPhase::kStreaming &&
        !connection.write_pending) {
      connection.deadline = MonotonicNow() + settings_.write_timeout;
    }
    UpdateHeld(connection);
    WaitWritable(connection);
    return;
  }
  std::string().swap(connection.out);
  connection.out_offset = 0;
  UpdateHeld(connection);
  if (connection.phase == ServerPhase::kStreaming) connection.deadline = kNever;
  if (connection.phase == ServerPhase::kFinishing) Finish(connection);
}

void Server::Impl::Finish(Connection& connection) {
  exchanges_.erase(connection.exchange);
  connection.exchange = ExchangeId();
  connection.request_bytes = 0;
  connection.served = true;
  connection.progress_at = MonotonicNow();
  UpdateHeld(connection);
  if (!connection.keep_alive) return Linger(connection);
  connection.phase = ServerPhase::kIdle;
  connection.deadline =
      connection.progress_at +
      (stopping_ ? Duration(kStopGrace) : settings_.idle_timeout);
  if (!connection.input.empty()) {
    asio::post(io_, MakeHandler(connection.id, &Impl::Parse));
  }
  WaitReadable(connection);
}

void Server::Impl::Linger(Connection& connection) {
  if (connection.read_closed) {
    asio::post(io_, MakeHandler(connection.id, &Impl::Erase));
    return;
  }
  error_code ec;
  connection.socket.shutdown(asio::socket_base::shutdown_send, ec);
  connection.phase = ServerPhase::kLingering;
  connection.discard_input = true;
  connection.deadline = MonotonicNow() + kLingerTime;
  WaitReadable(connection);
}

}  // namespace knapweedstile::http
