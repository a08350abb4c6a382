#include "servers/server_connections.h"

#include <utility>
#include <variant>

#include "servers/upstream_settings.h"

namespace knapweedstile::gateway {

ServerConnections::ServerConnections(boost::asio::io_context& io)
    : client_(io, UpstreamClientSettings(), [this](http::ClientEvent&& event) {
        OnEvent(std::move(event));
      }) {}

ExchangeId ServerConnections::Open(const EventSink& sink) {
  const ExchangeId exchange(++last_exchange_);
  sinks_.emplace(exchange, &sink);
  return exchange;
}

void ServerConnections::Send(http::ClientRequest&& request) {
  client_.Send(std::move(request));
}

void ServerConnections::Cancel(ExchangeId exchange) {
  sinks_.erase(exchange);
  client_.Cancel(exchange);
}

void ServerConnections::CloseIdle(const std::string& address) {
  client_.CloseIdle(address);
}

void ServerConnections::OnEvent(http::ClientEvent&& event) {
  const ExchangeId exchange =
      std::visit([](const auto& e) { return e.exchange; }, event);
  const auto found = sinks_.find(exchange);
  if (found == sinks_.end()) return;
  const EventSink& sink = *found->second;
  if (std::holds_alternative<http::EndEvent>(event)) sinks_.erase(found);
  sink(std::move(event));
}

}  // namespace knapweedstile::gateway
