#include "servers/server_connections.h"

#include <utility>
#include <variant>

#include "base/log.h"
#include "servers/upstream_settings.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {

ServerConnections::ServerConnections(boost::asio::io_context& io,
                                     uint32_t max_connections,
                                     observe::Metrics& metrics)
    : max_connections_(max_connections),
      metrics_(metrics),
      client_(
          io, UpstreamClientSettings(max_connections),
          [this](http::ClientEvent&& event) { OnEvent(std::move(event)); }) {}

ExchangeId ServerConnections::Open(const EventSink& sink) {
  const ExchangeId exchange(++last_exchange_);
  sinks_.emplace(exchange, &sink);
  return exchange;
}

void ServerConnections::Send(http::ClientRequest&& request) {
  request.echoed_field = users_platform::RequestIdField();
  client_.Send(std::move(request));
}

void ServerConnections::Cancel(ExchangeId exchange) {
  sinks_.erase(exchange);
  client_.Cancel(exchange);
}

void ServerConnections::CloseIdle(const std::string& address) {
  client_.CloseIdle(address);
}

void ServerConnections::RecordSkipped(const http::EndEvent& end) {
  metrics_.Add("knap_foreign_responses_total", {}, end.skipped_responses);
  LogWarning("foreign_responses_skipped", {{"responses", end.skipped_responses},
                                           {"outcome", NameOf(end.outcome)},
                                           {"status", end.status}});
}

void ServerConnections::RecordInvalid(const http::EndEvent& end) {
  metrics_.Add("knap_invalid_responses_total", {}, 1);
  LogWarning("response_invalid", {{"reason", end.message},
                                  {"status", end.status},
                                  {"skipped", end.skipped_responses}});
}

void ServerConnections::OnEvent(http::ClientEvent&& event) {
  const ExchangeId exchange =
      std::visit([](const auto& e) { return e.exchange; }, event);
  const auto found = sinks_.find(exchange);
  if (found == sinks_.end()) return;
  const EventSink& sink = *found->second;
  if (const auto* end = std::get_if<http::EndEvent>(&event)) {
    sinks_.erase(found);
    if (end->skipped_responses > 0) RecordSkipped(*end);
    if (end->outcome == http::ClientOutcome::kInvalid) RecordInvalid(*end);
  }
  sink(std::move(event));
}

}  // namespace knapweedstile::gateway
