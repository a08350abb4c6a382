#include "server_impl.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "endpoint.h"
#include "framing_limits.h"
#include "message_text.h"

namespace knapweedstile::http {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr size_t kReadBytes = 64 << 10;
// Interval of the one timer that checks the deadlines of all connections; exact
// enough for limits in seconds.
constexpr std::chrono::milliseconds kSweepInterval{50};
// Maximum number of connections over the limit that are sent a 503 at one time,
// also in relation to the limit; further ones are closed without a response.
constexpr size_t kMaxRejectedConnections = 256;
constexpr size_t kRejectedConnectionsDivisor = 8;

struct Rejection {
  unsigned status;
  std::string_view code;
  std::string_view message;
};

Rejection RejectionFor(const error_code& ec) noexcept {
  if (ec == beast_http::error::header_limit) {
    return {431, "headers_too_large", "the request header is too large"};
  }
  if (ec == beast_http::error::body_limit) {
    return {413, "body_too_large", "the request body is too large"};
  }
  return {400, "bad_request", "the request is not valid HTTP"};
}

}  // namespace

Server::Impl::Impl(asio::io_context& io, const ServerSettings& settings,
                   EventSink sink)
    : io_(io),
      settings_(settings),
      sink_(std::move(sink)),
      acceptor_(io),
      sweep_timer_(io),
      last_exchange_(settings.first_exchange - 1),
      scratch_(kReadBytes, '\0') {}

Server::Impl::Connection* Server::Impl::Find(ServerConnectionId id) noexcept {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

Server::Impl::Connection* Server::Impl::FindExchange(
    ExchangeId exchange) noexcept {
  const auto found = exchanges_.find(exchange);
  return found == exchanges_.end() ? nullptr : Find(found->second);
}

Result<uint16_t> Server::Impl::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return Fail(ErrorCode::kInvalid, "not IP:PORT: " + address);
  error_code ec;
  acceptor_.open(endpoint->protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(*endpoint, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (!ec) acceptor_.non_blocking(true, ec);
  if (ec) {
    return Fail(ErrorCode::kUnavailable, address + ": " + ec.message());
  }
  Accept();
  return acceptor_.local_endpoint(ec).port();
}

void Server::Impl::Accept() {
  acceptor_.async_wait(
      asio::socket_base::wait_read,
      [weak = std::weak_ptr<Impl*>(self_)](const error_code& ec) {
        const auto self = weak.lock();
        if (!self || ec) return;
        (*self)->AcceptPending();
        if (!(*self)->accept_failed_) (*self)->Accept();
      });
}

// Guards against a busy loop when file descriptors run out: the listening
// socket then stays readable, and accepting in a loop would use a full core.
// The next sweep retries.
void Server::Impl::AcceptPending() {
  while (acceptor_.is_open()) {
    error_code ec;
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec == asio::error::would_block) return;
    if (ec == asio::error::connection_aborted) continue;
    if (ec) {
      LogWarning("accept_failed", {{"reason", ec.message()}});
      accept_failed_ = true;
      ArmSweep();
      return;
    }
    if (!admits_ || admits_()) AddConnection(std::move(socket));
  }
}

void Server::Impl::AddConnection(asio::ip::tcp::socket&& socket) {
  const size_t limit = settings_.max_connections;
  const bool excess = connections_.size() >= limit && !MakePlace();
  if (connections_.size() >=
      limit + std::min(kMaxRejectedConnections,
                       1 + limit / kRejectedConnectionsDivisor)) {
    return;
  }
  error_code ec;
  socket.non_blocking(true, ec);
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  const ServerConnectionId id(++last_connection_);
  auto& connection =
      *connections_
           .emplace(id, std::make_unique<Connection>(id, std::move(socket)))
           .first->second;
  connection.progress_at = MonotonicNow();
  connection.deadline = connection.progress_at + settings_.idle_timeout;
  UpdateHeld(connection);
  ArmSweep();
  if (excess) {
    Reject(connection, 503, "too_many_connections",
           "the server has reached its connection limit");
  }
  WaitReadable(connection);
}

void Server::Impl::WaitReadable(Connection& connection) {
  if (connection.read_pending || connection.read_closed ||
      ReadSize(connection) == 0)
    return;
  connection.read_pending = true;
  connection.socket.async_wait(asio::socket_base::wait_read,
                               MakeHandler(connection.id, &Impl::OnReadable));
}

void Server::Impl::WaitWritable(Connection& connection) {
  if (connection.write_pending) return;
  connection.write_pending = true;
  connection.socket.async_wait(asio::socket_base::wait_write,
                               MakeHandler(connection.id, &Impl::OnWritable));
}

void Server::Impl::OnReadable(Connection& connection) {
  connection.read_pending = false;
  const ServerConnectionId id = connection.id;
  error_code ec;
  const size_t size = ReadSize(connection);
  if (size == 0) return;
  const size_t count =
      connection.socket.read_some(asio::buffer(scratch_, size), ec);
  if (ec && ec != asio::error::would_block) {
    if (ec != asio::error::eof) return CloseDisconnected(connection);
    return OnEof(connection);
  }
  if (!connection.discard_input) {
    connection.input.Append(std::string_view{scratch_}.substr(0, count));
    Parse(connection);
    if (Connection* current = Find(id)) UpdateHeld(*current);
    MakeRoom();
  }
  if (Connection* current = Find(id)) WaitReadable(*current);
}

size_t Server::Impl::ReadSize(const Connection& connection) const noexcept {
  if (connection.discard_input || connection.phase < ServerPhase::kPending) {
    return scratch_.size();
  }
  return Connection::kMaxReadAhead -
         std::min(Connection::kMaxReadAhead, connection.input.size());
}

void Server::Impl::OnWritable(Connection& connection) {
  connection.write_pending = false;
  Flush(connection);
}

// The caller has shut down its sending side. While its request is unanswered,
// it counts as disconnected, since a half-close looks the same; a response that
// is already queued is written as far as the caller reads it.
void Server::Impl::OnEof(Connection& connection) {
  if (connection.phase != ServerPhase::kFinishing)
    return CloseDisconnected(connection);
  connection.read_closed = true;
  connection.keep_alive = false;
}

void Server::Impl::Parse(Connection& connection) {
  while (connection.phase <= ServerPhase::kBody && !connection.input.empty()) {
    if (connection.phase == ServerPhase::kIdle) BeginRequest(connection);
    if (!ParseBuffered(connection)) return;
  }
}

void Server::Impl::BeginRequest(Connection& connection) {
  connection.parser.emplace();
  connection.received_bytes = 0;
  connection.parser->eager(true);
  connection.parser->header_limit(settings_.max_header_bytes);
  connection.parser->body_limit(settings_.max_body_bytes);
  connection.phase = ServerPhase::kHeader;
  connection.received_at = MonotonicNow();
  connection.progress_at = connection.received_at;
  connection.deadline = connection.received_at + settings_.header_timeout;
}

bool Server::Impl::ParseBuffered(Connection& connection) {
  auto& parser = *connection.parser;
  error_code ec;
  const size_t used = connection.input.Feed(parser, ec);
  connection.received_bytes += used;
  if (ec && ec != beast_http::error::need_more) {
    const Rejection rejection = RejectionFor(ec);
    Reject(connection, rejection.status, rejection.code, rejection.message);
    return false;
  }
  if (connection.phase == ServerPhase::kHeader && parser.is_header_done()) {
    OnHeaderRead(connection);
  }
  if (parser.is_done()) {
    Dispatch(connection);
    return false;
  }
  // What the parser leaves of a body is the line of a chunk or trailers.
  if (connection.phase == ServerPhase::kBody &&
      (connection.input.size() > settings_.max_header_bytes ||
       IsFramingExcessive(connection.received_bytes,
                          parser.get().body().size()))) {
    Reject(connection, 431, "framing_too_large",
           "the chunk extensions or trailers of the request are too large");
    return false;
  }
  return used > 0;
}

void Server::Impl::OnHeaderRead(Connection& connection) {
  connection.phase = ServerPhase::kBody;
  CountHeader(connection);
  connection.deadline = MonotonicNow() + settings_.body_timeout;
  const auto& request = connection.parser->get();
  connection.version = request.version();
  connection.head_request = request.method() == beast_http::verb::head;
  const auto expect = request[beast_http::field::expect];
  if (!connection.parser->is_done() &&
      boost::beast::iequals(expect, "100-continue")) {
    connection.out += "HTTP/1.1 100 Continue\r\n\r\n";
    Flush(connection);
  }
}

void Server::Impl::Dispatch(Connection& connection) {
  const ServerConnectionId id = connection.id;
  const uint64_t execution_bytes = ExecutionBytes(connection);
  if (!MakeRoom(execution_bytes, id) && !exchanges_.empty()) {
    LogWarning("request_exceeds_memory", {{"needed_bytes", execution_bytes},
                                          {"all_held_bytes", held_bytes_},
                                          {"exchanges", exchanges_.size()}});
    return Reject(connection, 503, "overloaded",
                  "the server has reached its limit on the memory of requests");
  }
  const ExchangeId exchange(++last_exchange_);
  exchanges_.emplace(exchange, id);
  connection.exchange = exchange;
  connection.phase = ServerPhase::kPending;
  connection.deadline = kNever;
  auto request = connection.parser->release();
  connection.parser.reset();
  connection.input.ShrinkToFit();
  connection.request_bytes = execution_bytes;
  UpdateHeld(connection);
  connection.keep_alive = request.keep_alive();
  RequestEvent event{.exchange = exchange,
                     .method = std::string(request.method_string()),
                     .target = std::string(request.target()),
                     .headers = ToHeaderList(request),
                     .body = std::move(request.body()),
                     .received_at = connection.received_at};
  if (sink_(std::move(event))) return;
  HeaderList headers;
  headers.Add("Content-Type", "application/json");
  headers.Add("Retry-After", kRetryAfterSeconds);
  Run(RespondCommand{
      .exchange = exchange,
      .status = 503,
      .headers = std::move(headers),
      .body = ErrorBody("overloaded_error", "overloaded",
                        "the server is overloaded; try again later")});
}

void Server::Impl::OnDeadline(Connection& connection) {
  switch (connection.phase) {
    case ServerPhase::kHeader:
    case ServerPhase::kBody:
      return Reject(connection, 408, "request_timeout",
                    "the request was not received in time");
    case ServerPhase::kIdle:
    case ServerPhase::kLingering:
    case ServerPhase::kPending:
    case ServerPhase::kStreaming:
    case ServerPhase::kFinishing:
      return CloseDisconnected(connection);
  }
}

void Server::Impl::CloseDisconnected(Connection& connection) {
  const bool response_open = connection.phase == ServerPhase::kPending ||
                             connection.phase == ServerPhase::kStreaming;
  if (response_open) disconnects_.push_back(connection.exchange);
  Erase(connection);
  DeliverDisconnects();
}

void Server::Impl::Erase(Connection& connection) {
  exchanges_.erase(connection.exchange);
  held_bytes_ -= connection.held_bytes;
  connections_.erase(connection.id);
}

// Guards against lost disconnect events when the queue behind the sink is full:
// the work for a caller that has disconnected would go on. The sweep retries.
void Server::Impl::DeliverDisconnects() {
  std::vector<ExchangeId> undelivered = std::exchange(disconnects_, {});
  std::erase_if(undelivered, [this](ExchangeId exchange) {
    return sink_(DisconnectEvent{exchange});
  });
  disconnects_.insert(disconnects_.end(), undelivered.begin(),
                      undelivered.end());
  if (!disconnects_.empty()) ArmSweep();
}

void Server::Impl::ArmSweep() {
  if (std::exchange(sweep_armed_, true)) return;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait(
      [weak = std::weak_ptr<Impl*>(self_)](const error_code& ec) {
        const auto self = weak.lock();
        if (!self || ec) return;
        (*self)->sweep_armed_ = false;
        (*self)->Sweep();
      });
}

void Server::Impl::Sweep() {
  const TimePoint now = MonotonicNow();
  std::vector<ServerConnectionId> expired;
  for (const auto& [id, connection] : connections_) {
    if (connection->deadline <= now) expired.push_back(id);
  }
  for (const ServerConnectionId id : expired) {
    if (Connection* connection = Find(id)) OnDeadline(*connection);
  }
  DeliverDisconnects();
  if (std::exchange(accept_failed_, false) && acceptor_.is_open()) Accept();
  if (!connections_.empty()) ArmSweep();
}

void Server::Impl::SetLimits(uint32_t max_header_bytes, uint64_t max_body_bytes,
                             std::chrono::milliseconds header_timeout,
                             std::chrono::milliseconds idle_timeout) {
  settings_.max_header_bytes = max_header_bytes;
  settings_.max_body_bytes = max_body_bytes;
  settings_.header_timeout = header_timeout;
  settings_.idle_timeout = idle_timeout;
}

void Server::Impl::StopAccepting() {
  if (stopping_) return;
  // Closing the listener resets connections that the kernel has completed but
  // that were not accepted, so they are accepted first.
  AcceptPending();
  draining_ = true;
  stopping_ = true;
  error_code ec;
  acceptor_.close(ec);
  const TimePoint grace_end = MonotonicNow() + kStopGrace;
  for (const auto& [id, connection] : connections_) {
    if (connection->phase == ServerPhase::kIdle) {
      connection->deadline = grace_end;
    }
  }
}

void Server::Impl::Close() {
  stopping_ = true;
  error_code ec;
  acceptor_.close(ec);
  sweep_timer_.cancel();
  sweep_armed_ = false;
  connections_.clear();
  exchanges_.clear();
  disconnects_.clear();
  held_bytes_ = 0;
}

}  // namespace knapweedstile::http
