#ifndef KNAPWEEDSTILE_HTTP_SERVER_IMPL_H_
#define KNAPWEEDSTILE_HTTP_SERVER_IMPL_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "http/server.h"
#include "server_connection.h"

namespace knapweedstile::http {

// Owns the connections. Sockets are non-blocking and only waited for with
// async_wait, so no pending operation refers to a connection's memory: a
// connection may be erased at any time, and an idle one needs no buffer.
//
// The sink may call Execute() or Close() from inside an event, so every method
// looks its connection up again by id after calling the sink.
class Server::Impl {
 public:
  Impl(boost::asio::io_context& io, const ServerSettings& settings,
       EventSink sink);

  Result<uint16_t> Listen(const std::string& address);
  void Execute(ServerCommand&& command);
  void SetLimits(uint32_t max_header_bytes, uint64_t max_body_bytes,
                 std::chrono::milliseconds header_timeout,
                 std::chrono::milliseconds idle_timeout);
  void SetConnectionFilter(std::function<bool()> admits) {
    admits_ = std::move(admits);
  }
  void BeginDraining() noexcept { draining_ = true; }
  void StopAccepting();
  void Close();

  size_t open_exchanges() const noexcept { return exchanges_.size(); }
  size_t open_connections() const noexcept { return connections_.size(); }
  uint64_t held_bytes() const noexcept { return held_bytes_; }
  uint64_t gave_way() const noexcept { return gave_way_; }

 private:
  using Connection = ServerConnection;
  using Member = void (Impl::*)(Connection&);

  Connection* Find(ServerConnectionId id) noexcept;
  Connection* FindExchange(ExchangeId exchange) noexcept;
  // Returns a completion handler that calls `member` on the connection if it
  // still exists.
  auto MakeHandler(ServerConnectionId id, Member member);

  void Accept();
  void AcceptPending();
  void AddConnection(boost::asio::ip::tcp::socket&& socket);

  // How many bytes may be read from the socket now.
  size_t ReadSize(const Connection& connection) const noexcept;
  void WaitReadable(Connection& connection);
  void WaitWritable(Connection& connection);
  void OnReadable(Connection& connection);
  void OnWritable(Connection& connection);
  void OnEof(Connection& connection);

  void Parse(Connection& connection);
  void BeginRequest(Connection& connection);
  // Returns false when the request was rejected or passed to the sink.
  bool ParseBuffered(Connection& connection);
  void OnHeaderRead(Connection& connection);
  void Dispatch(Connection& connection);

  void Run(RespondCommand&& command);
  void Run(BeginStreamCommand&& command);
  void Run(StreamChunkCommand&& command);
  void Run(AbortCommand&& command);

  void Reject(Connection& connection, unsigned status, std::string_view code,
              std::string_view message);
  void Flush(Connection& connection);
  void Finish(Connection& connection);
  void Linger(Connection& connection);
  void OnDeadline(Connection& connection);
  void CloseDisconnected(Connection& connection);
  void Erase(Connection& connection);

  // Counts what the connection holds now.
  void UpdateHeld(Connection& connection);
  void CountHeader(Connection& connection);
  // Estimated memory of the connection's request while it is executed.
  static uint64_t ExecutionBytes(const Connection& connection);
  // Closes the connections that do least with what they hold until `needed`
  // bytes more are within the limit. Returns whether they are. May erase any
  // connection but `except`.
  bool MakeRoom(uint64_t needed = 0, ServerConnectionId except = {});
  // Closes the connection of least use; false if all are in use.
  bool MakePlace();
  void GiveWay(Connection& connection, std::string_view cause);
  void PostDisconnects();

  void ArmSweep();
  void Sweep();
  void DeliverDisconnects();

  boost::asio::io_context& io_;
  ServerSettings settings_;
  EventSink sink_;
  std::function<bool()> admits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_armed_ = false;
  bool accept_failed_ = false;
  bool draining_ = false;
  bool stopping_ = false;
  uint64_t last_connection_ = 0;
  uint64_t last_exchange_;
  uint64_t held_bytes_ = 0;  // by all connections
  uint64_t gave_way_ = 0;
  std::unordered_map<ServerConnectionId, std::unique_ptr<Connection>>
      connections_;
  std::unordered_map<ExchangeId, ServerConnectionId> exchanges_;
  std::vector<ExchangeId> disconnects_;  // not yet accepted by the sink
  std::string scratch_;                  // receive buffer of one read call
  // Completion handlers hold a weak_ptr and do nothing after destruction.
  std::shared_ptr<Impl*> self_ = std::make_shared<Impl*>(this);
};

// How long idle connections stay open after StopAccepting(), for requests that
// callers have already begun to send.
inline constexpr std::chrono::milliseconds kStopGrace{300};
inline constexpr char kRetryAfterSeconds[] = "1";

inline auto Server::Impl::MakeHandler(ServerConnectionId id, Member member) {
  return [weak = std::weak_ptr<Impl*>(self_), id,
          member](const boost::system::error_code& ec = {}) {
    const auto self = weak.lock();
    if (!self || ec == boost::asio::error::operation_aborted) return;
    Impl& impl = **self;
    if (Connection* connection = impl.Find(id)) (impl.*member)(*connection);
  };
}

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_IMPL_H_
