#ifndef KNAPWEEDSTILE_HTTP_CLIENT_IMPL_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_IMPL_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "client_connection.h"
#include "http/client.h"

namespace knapweedstile::http {

// Owns the connections. As in Server::Impl, sockets are non-blocking and only
// waited for, so a connection may be erased at any time. The sink may call
// Send() or Cancel() from inside an event, so connections are looked up again
// after each event.
class Client::Impl {
 public:
  Impl(boost::asio::io_context& io, const ClientSettings& settings,
       EventSink sink);

  void Send(ClientRequest&& request);
  void Cancel(ExchangeId exchange);
  void CloseIdle();
  void CloseIdle(const std::string& address);

  size_t open_exchanges() const noexcept { return exchanges_.size(); }

 private:
  using Connection = ClientConnection;
  using Member = void (Impl::*)(Connection&);

  Connection* Find(ClientConnectionId id) noexcept;
  auto MakeHandler(ClientConnectionId id, Member member);

  // Removes from the pool an idle connection on which the request can be sent;
  // null when there is none.
  Connection* AcquireIdle(const ClientRequest& request);
  Connection& CreateConnection(const std::string& address);
  // Closes the connection that has been idle for longest, if any.
  void CloseOneIdle();
  void Connect(Connection& connection);
  void OnConnected(Connection& connection);
  void PrepareExchange(Connection& connection, ClientRequest&& request);
  void BeginExchange(Connection& connection);

  void WaitReadable(Connection& connection);
  void WaitWritable(Connection& connection);
  void OnReadable(Connection& connection);
  void OnWritable(Connection& connection);
  void Write(Connection& connection);
  void OnEof(Connection& connection);
  // May erase the connection.
  void Parse(Connection& connection);
  void ResetParser(Connection& connection);
  // Decides whether the response that is being parsed answers this request.
  static void IdentifyResponse(Connection& connection);
  // Discards what was parsed of a response that is skipped. Returns false if
  // the connection was erased.
  bool DiscardResponse(Connection& connection);
  // These return false when the connection was erased or is now used for
  // another exchange.
  bool DeliverHead(Connection& connection);
  bool DeliverBody(Connection& connection);
  // Why the bytes received so far are no response within the limits; empty:
  // they may be one.
  std::string_view ExceededLimit(const Connection& connection) const;
  void CountBody(Connection& connection);
  void CountBuffered(Connection& connection, uint64_t bytes);
  // Gives up the largest incomplete bodies until the others are within the
  // limit on all of them. May erase any connection.
  void LimitBuffered();
  void Complete(Connection& connection);
  void Release(Connection& connection);

  // Erases the connection and ends its exchange, if any, with the outcome that
  // the bytes written so far imply.
  // `cause` is the outcome if bytes were written.
  void Fail(Connection& connection, std::string message, ClientOutcome cause);
  void FailInvalid(Connection& connection, std::string_view reason);
  void ReportFailure(Connection& connection);
  void ReportUnsendable(Connection& connection);
  void Erase(Connection& connection);
  void SetDeadline(Connection& connection, TimePoint deadline);
  void ArmTimer(Connection& connection);
  void OnTimer(Connection& connection);

  boost::asio::io_context& io_;
  ClientSettings settings_;
  EventSink sink_;
  uint64_t last_connection_ = 0;
  uint64_t buffered_bytes_ = 0;  // over all connections
  std::unordered_map<ClientConnectionId, std::unique_ptr<Connection>>
      connections_;
  std::unordered_map<ExchangeId, ClientConnectionId> exchanges_;
  std::unordered_map<std::string, std::vector<ClientConnectionId>> idle_;
  std::string scratch_;
  // Completion handlers hold a weak_ptr and do nothing after destruction.
  std::shared_ptr<Impl*> self_ = std::make_shared<Impl*>(this);
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_IMPL_H_
