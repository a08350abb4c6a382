#include "harness/proxy.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

#include "base/time.h"

namespace knapweedstile::harness {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kChunkBytes = 64 << 10;

tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

auto RedirectError(error_code& ec) {
  return asio::redirect_error(asio::use_awaitable, ec);
}

}  // namespace

struct Proxy::Connection {
  explicit Connection(asio::io_context& io)
      : client(io), server(io), fault_changed(io, TimePoint::max()) {}

  bool Freezes(Direction direction) const noexcept {
    if (fault.after_bytes > 0) return false;
    return fault.mode == FaultMode::kFreeze ||
           fault.mode == (direction == Direction::kToServer
                              ? FaultMode::kFreezeToServer
                              : FaultMode::kFreezeToClient);
  }

  Socket client;
  Socket server;
  asio::steady_timer fault_changed;  // never expires; a new fault cancels it
  Fault fault;
  bool affected = false;      // by the current fault
  int closed_directions = 0;  // directions closed so far
};

Proxy::Proxy(asio::io_context& io, const std::string& listen,
             const std::string& to)
    : io_(io),
      acceptor_(io, ParseEndpoint(listen)),
      target_(ParseEndpoint(to)) {
  asio::co_spawn(io_, AcceptAll(), asio::detached);
}

uint16_t Proxy::port() const { return acceptor_.local_endpoint().port(); }

void Proxy::Strike(const Fault& fault) {
  fault_ = fault.for_good ? Fault{} : fault;
  const std::set<ConnectionPtr> connections = connections_;
  for (const ConnectionPtr& connection : connections) Apply(*connection, fault);
}

void Proxy::Apply(Connection& connection, const Fault& fault) {
  if (connection.fault.for_good) return;
  connection.fault = fault;
  connection.affected = false;
  ++counters_[static_cast<size_t>(fault.mode)].applied;
  if (fault.mode == FaultMode::kCut && fault.after_bytes == 0) {
    CountAffected(connection, 0);
    ResetBothEnds(connection);
  }
  connection.fault_changed.cancel();
}

boost::json::object Proxy::Counts() const {
  boost::json::object counts{{"accepted", accepted_},
                             {"open", connections_.size()},
                             {"mode", NameOf(fault_.mode)}};
  for (size_t i = 0; i < counters_.size(); ++i) {
    counts[NameOf(static_cast<FaultMode>(i))] =
        boost::json::object{{"applied", counters_[i].applied},
                            {"connections", counters_[i].connections},
                            {"bytes", counters_[i].bytes}};
  }
  return counts;
}

awaitable<void> Proxy::AcceptAll() {
  for (;;) {
    error_code ec;
    auto connection = std::make_shared<Connection>(io_);
    co_await acceptor_.async_accept(connection->client, RedirectError(ec));
    if (ec) co_return;
    ++accepted_;
    connections_.insert(connection);
    asio::co_spawn(io_, Connect(connection), asio::detached);
  }
}

awaitable<void> Proxy::Connect(ConnectionPtr connection) {
  error_code ec;
  Apply(*connection, fault_);
  if (connection->client.is_open()) {
    co_await connection->server.async_connect(target_, RedirectError(ec));
  }
  if (ec || !connection->client.is_open()) {
    ResetBothEnds(*connection);
    connections_.erase(connection);
    co_return;
  }
  connection->client.set_option(tcp::no_delay(true), ec);
  connection->server.set_option(tcp::no_delay(true), ec);
  asio::co_spawn(io_, ForwardAll(connection, Direction::kToServer),
                 asio::detached);
  asio::co_spawn(io_, ForwardAll(connection, Direction::kToClient),
                 asio::detached);
}

awaitable<void> Proxy::ForwardAll(ConnectionPtr connection,
                                  Direction direction) {
  std::string buffer(kChunkBytes, '\0');
  const bool to_server = direction == Direction::kToServer;
  Socket& from = to_server ? connection->client : connection->server;
  for (;;) {
    error_code ec;
    co_await from.async_wait(Socket::wait_read, RedirectError(ec));
    if (ec) break;
    if (connection->Freezes(direction)) {
      CountAffected(*connection, from.available(ec));
      co_await connection->fault_changed.async_wait(RedirectError(ec));
    } else if (!co_await ForwardChunk(connection, direction, buffer)) {
      break;
    }
  }
  if (++connection->closed_directions == 2) connections_.erase(connection);
}

awaitable<bool> Proxy::ForwardChunk(ConnectionPtr connection,
                                    Direction direction, std::string& buffer) {
  const bool to_server = direction == Direction::kToServer;
  Socket& from = to_server ? connection->client : connection->server;
  Socket& to = to_server ? connection->server : connection->client;
  error_code ec;
  // Reads at most up to the byte where the fault begins.
  const bool counted = connection->fault.after_bytes > 0;
  const size_t max_bytes =
      counted ? std::min<uint64_t>(connection->fault.after_bytes, kChunkBytes)
              : kChunkBytes;
  const size_t count = co_await from.async_read_some(
      asio::buffer(buffer, max_bytes), RedirectError(ec));
  if (ec == asio::error::eof) {
    to.shutdown(Socket::shutdown_send, ec);
    co_return false;
  }
  if (ec) {
    ResetBothEnds(*connection);
    co_return false;
  }
  if (counted) {
    connection->fault.after_bytes -=
        std::min<uint64_t>(count, connection->fault.after_bytes);
  } else if (connection->fault.mode == FaultMode::kDropAnswer && !to_server) {
    CountAffected(*connection, count);
    ResetBothEnds(*connection);
    co_return false;
  } else if (connection->fault.mode == FaultMode::kDelay) {
    CountAffected(*connection, count);
    asio::steady_timer timer(io_, connection->fault.delay);
    co_await timer.async_wait(RedirectError(ec));
  }
  co_await asio::async_write(to, asio::buffer(buffer, count),
                             RedirectError(ec));
  if (counted && connection->fault.after_bytes == 0 &&
      connection->fault.mode == FaultMode::kCut) {
    CountAffected(*connection, 0);
    ResetBothEnds(*connection);
  }
  co_return !ec;
}

void Proxy::CountAffected(Connection& connection, size_t bytes) {
  Counters& counters = counters_[static_cast<size_t>(connection.fault.mode)];
  if (!std::exchange(connection.affected, true)) ++counters.connections;
  counters.bytes += bytes;
}

// Closes both sockets with a reset instead of an orderly shutdown.
void Proxy::ResetBothEnds(Connection& connection) {
  error_code ec;
  for (Socket* socket : {&connection.client, &connection.server}) {
    if (!socket->is_open()) continue;
    socket->set_option(asio::socket_base::linger(true, 0), ec);
    socket->close(ec);
  }
}

}  // namespace knapweedstile::harness
