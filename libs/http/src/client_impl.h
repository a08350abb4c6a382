#ifndef KNAPWEEDSTILE_HTTP_CLIENT_IMPL_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_IMPL_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "client_connection.h"
#include "http/client.h"

namespace knapweedstile::http {

// Holds the connections. As in the server, sockets are non-blocking and are
// waited for, so a connection may be erased at any time; the sink may call
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

 private:
  using Connection = ClientConnection;
  using Member = void (Impl::*)(Connection&);

  Connection* Find(ClientConnectionId id) noexcept;
  auto Later(ClientConnectionId id, Member member);

  // An idle connection to `address` that the server has not closed.
  Connection* TakeIdle(const std::string& address);
  Connection& NewConnection(const std::string& address);
  void Connect(Connection& connection);
  void OnConnected(Connection& connection);
  void Load(Connection& connection, ClientRequest&& request);
  void BeginExchange(Connection& connection);

  void WaitReadable(Connection& connection);
  void WaitWritable(Connection& connection);
  void OnReadable(Connection& connection);
  void OnWritable(Connection& connection);
  void Write(Connection& connection);
  void OnEnd(Connection& connection);
  // The connection may be gone afterwards.
  void Parse(Connection& connection);
  void NewParser(Connection& connection);
  // False when the connection is gone or has gone on to another exchange.
  bool GiveHead(Connection& connection);
  bool GiveBody(Connection& connection);
  void Complete(Connection& connection);
  void Release(Connection& connection);

  // Ends the exchange, if any, with the outcome that is true at this point.
  void Fail(Connection& connection, std::string message, bool by_deadline);
  void ReportFailure(Connection& connection);
  void Erase(Connection& connection);
  void SetDeadline(Connection& connection, TimePoint deadline);
  void ArmTimer(Connection& connection);
  void OnTimer(Connection& connection);

  boost::asio::io_context& io_;
  ClientSettings settings_;
  EventSink sink_;
  uint64_t last_connection_ = 0;
  std::unordered_map<ClientConnectionId, std::unique_ptr<Connection>>
      connections_;
  std::unordered_map<ExchangeId, ClientConnectionId> exchanges_;
  std::unordered_map<std::string, std::vector<ClientConnectionId>> idle_;
  std::string scratch_;
  // Handlers hold it weakly and do nothing once the client is gone.
  std::shared_ptr<Impl*> self_ = std::make_shared<Impl*>(this);
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_IMPL_H_
