#ifndef KNAPWEEDSTILE_HARNESS_PROXY_H_
#define KNAPWEEDSTILE_HARNESS_PROXY_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <memory>
#include <set>

#include "harness/fault.h"

namespace knapweedstile::harness {

// A TCP proxy that applies the current fault to its connections and counts what
// it affected, so that a test can show that its fault took effect.
class Proxy {
 public:
  Proxy(boost::asio::io_context& io, const std::string& listen,
        const std::string& to);

  uint16_t port() const;
  // Applies `fault` to the open connections, and to later ones unless
  // `fault.for_good` is set.
  void Strike(const Fault& fault);
  // Per mode: how many connections the fault was applied to, and how many
  // connections and bytes it in fact dropped, delayed or held back.
  boost::json::object Counts() const;

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Counters {
    uint64_t applied = 0;
    uint64_t connections = 0;
    uint64_t bytes = 0;
  };
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  enum class Direction { kToServer, kToClient };

  boost::asio::awaitable<void> AcceptAll();
  boost::asio::awaitable<void> Connect(ConnectionPtr connection);
  boost::asio::awaitable<void> ForwardAll(ConnectionPtr connection,
                                          Direction direction);
  // Forwards one chunk; false when the connection has ended.
  boost::asio::awaitable<bool> ForwardChunk(ConnectionPtr connection,
                                            Direction direction,
                                            std::string& buffer);
  void Apply(Connection& connection, const Fault& fault);
  void CountAffected(Connection& connection, size_t bytes);
  void ResetBothEnds(Connection& connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  Fault fault_;
  std::set<ConnectionPtr> connections_;
  uint64_t accepted_ = 0;
  std::array<Counters, kEnumNames<FaultMode>.size()> counters_;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_PROXY_H_
