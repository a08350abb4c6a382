#include "stand_in.h"

#include <fmt/format.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdio>
#include <utility>

#include "base/log.h"

namespace knapweedstile::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

void PrintAddress(const std::string& key, const std::string& host,
                  uint16_t port) {
  fmt::print("{}={}:{}\n", key, host, port);
  std::fflush(stdout);
}

StandIn::StandIn(std::string name) : name_(std::move(name)) {
  server_ = std::make_unique<http::Server>(
      io_, http::ServerSettings{}, [this](http::ServerEvent&& event) {
        if (const auto* request = std::get_if<http::RequestEvent>(&event)) {
          on_request_(*request);
        } else if (on_disconnect_) {
          on_disconnect_(std::get<http::DisconnectEvent>(event).exchange);
        }
        return true;
      });
}

bool StandIn::Announce(const std::string& key, const std::string& listen) {
  ConfigureLog(LogLevel::kInfo, name_);
  const Result<uint16_t> port = server_->Listen(listen);
  if (!port) {
    LogError("listen_failed", {{"address", listen}});
    return false;
  }
  PrintAddress(key, HostOf(listen), port.value());
  return true;
}

int StandIn::Run(OnRequest on_request, OnDisconnect on_disconnect) {
  on_request_ = std::move(on_request);
  on_disconnect_ = std::move(on_disconnect);
  asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([this](const auto& ec, int) {
    if (!ec) io_.stop();
  });
  io_.run();
  server_->Close();
  return 0;
}

void StandIn::Respond(ExchangeId exchange, unsigned status, std::string body,
                      http::HeaderList headers) {
  server_->Execute(http::RespondCommand{.exchange = exchange,
                                        .status = status,
                                        .headers = std::move(headers),
                                        .body = std::move(body)});
}

void StandIn::RespondJson(ExchangeId exchange, unsigned status,
                          const json::value& body, http::HeaderList headers) {
  headers.Add("Content-Type", "application/json");
  Respond(exchange, status, json::serialize(body), std::move(headers));
}

void StandIn::RespondError(ExchangeId exchange, unsigned status,
                           const std::string& message,
                           http::HeaderList headers) {
  RespondJson(exchange, status, {{"error", {{"message", message}}}},
              std::move(headers));
}

void StandIn::After(std::chrono::microseconds delay,
                    std::function<void()> work) {
  if (delay.count() <= 0) return work();
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, work = std::move(work)](const auto& ec) {
    if (!ec) work();
  });
}

json::object ParseObject(const std::string& text) {
  json::error_code ec;
  json::value value = json::parse(text, ec);
  return !ec && value.is_object() ? std::move(value.as_object())
                                  : json::object();
}

int64_t IntOr(const json::object& object, std::string_view key,
              int64_t absent) {
  const json::value* value = object.if_contains({key.data(), key.size()});
  return value && value->is_int64() ? value->as_int64() : absent;
}

std::string StringOr(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains({key.data(), key.size()});
  if (!value || !value->is_string()) return {};
  return std::string(value->as_string());
}

}  // namespace knapweedstile::standins
