#ifndef REVIEW_STORE_PROXY_2_HPP_
#define REVIEW_STORE_PROXY_2_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"

namespace review {

namespace http = knapweedstile::http;
using knapweedstile::ExchangeId;
using knapweedstile::MonotonicNow;
using knapweedstile::TimePoint;

// Stands between one gateway and the stand-in of the platform's store. Every
// call is passed on unchanged. A write that `delay_of` chooses is passed on
// after that time, and gets no answer: "a call that receives no response may
// have been executed, or may be executed seconds later if its condition still
// holds", and "a connection on which a response is lost returns nothing
// further" (PROTOCOL.md).
class StoreProxy {
 public:
  struct Write {
    std::string method;
    std::string name;  // of the object
    std::string body;
    size_t value_bytes = 0;
  };
  using DelayOf =
      std::function<std::optional<std::chrono::milliseconds>(const Write&)>;

  StoreProxy(boost::asio::io_context& io, std::string store, DelayOf delay_of)
      : io_(io),
        store_(std::move(store)),
        delay_of_(std::move(delay_of)),
        server_(io, ServerSettings(),
                [this](http::ServerEvent&& event) {
                  return OnRequest(std::move(event));
                }),
        client_(io, ClientSettings(), [this](http::ClientEvent&& event) {
          OnAnswer(std::move(event));
        }) {
    const uint16_t port = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<uint16_t> {
          return server_.Listen("127.0.0.1:0");
        },
        [] { return uint16_t{0}; });
    address_ = "127.0.0.1:" + std::to_string(port);
  }

  const std::string& address() const { return address_; }
  int writes() const { return writes_; }
  // Each object is value_bytes at most: a larger value is refused with 413.
  size_t max_value_bytes = 0;  // zero: no limit
  // Called when a write that got no answer has been executed.
  std::function<void(const Write&, unsigned status)> on_late_write;
  // Called with each write and the store's status, also of late ones.
  std::function<void(const Write&, unsigned status, bool late)> on_write;

 private:
  struct Call {
    ExchangeId caller;  // zero: gets no answer
    std::optional<Write> write;
    bool late = false;
  };

  static http::ServerSettings ServerSettings() {
    http::ServerSettings settings;
    settings.max_body_bytes = 16 << 20;
    return settings;
  }
  static http::ClientSettings ClientSettings() {
    http::ClientSettings settings;
    settings.idle_timeout = std::chrono::milliseconds(4000);
    return settings;
  }

  static Write WriteOf(const http::RequestEvent& request) {
    Write write{.method = request.method, .body = request.body};
    boost::json::error_code ec;
    const auto parsed = boost::json::parse(request.body, ec);
    if (!ec) {
      boost::json::error_code missing;
      const auto* name = parsed.find_pointer("/metadata/name", missing);
      const auto* value = parsed.find_pointer("/spec", missing);
      if (value) write.value_bytes = boost::json::serialize(*value).size();
      if (name && name->is_string()) write.name = std::string(name->as_string());
    }
    if (write.name.empty()) {
      write.name = request.target.substr(request.target.rfind('/') + 1);
    }
    return write;
  }

  void PassOn(const http::RequestEvent& request, Call call) {
    const ExchangeId exchange(++last_exchange_);
    calls_[exchange] = std::move(call);
    http::ClientRequest out{.exchange = exchange,
                            .address = store_,
                            .method = request.method,
                            .target = request.target,
                            .body = request.body};
    out.headers.Add("Host", store_);
    if (!request.body.empty()) out.headers.Add("Content-Type", "application/json");
    client_.Send(std::move(out));
  }

  bool OnRequest(http::ServerEvent&& event) {
    if (const auto* gone = std::get_if<http::DisconnectEvent>(&event)) {
      for (auto& [exchange, call] : calls_) {
        if (call.caller != gone->exchange || call.write) continue;
        client_.Cancel(exchange);
        calls_.erase(exchange);
        break;
      }
      return true;
    }
    auto& request = std::get<http::RequestEvent>(event);
    Call call{.caller = request.exchange};
    if (request.method != "GET") {
      ++writes_;
      call.write = WriteOf(request);
      if (max_value_bytes > 0 && call.write->value_bytes > max_value_bytes) {
        if (on_write) on_write(*call.write, 413, false);
        server_.Execute(http::RespondCommand{.exchange = request.exchange,
                                             .status = 413,
                                             .body = "{}"});
        return true;
      }
      if (const auto delay = delay_of_(*call.write)) {
        call.caller = ExchangeId();
        call.late = true;
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, *delay);
        timer->async_wait([this, timer, request, call](const auto& ec) {
          if (!ec) PassOn(request, call);
        });
        return true;
      }
    }
    PassOn(request, std::move(call));
    return true;
  }

  void OnAnswer(http::ClientEvent&& event) {
    auto* end = std::get_if<http::EndEvent>(&event);
    if (!end) return;
    const auto found = calls_.find(end->exchange);
    if (found == calls_.end()) return;
    const Call call = std::move(found->second);
    calls_.erase(found);
    if (call.write && on_write) on_write(*call.write, end->status, call.late);
    if (call.late) {
      if (on_late_write) on_late_write(*call.write, end->status);
      return;
    }
    if (end->outcome != http::ClientOutcome::kComplete) {
      server_.Execute(http::AbortCommand{call.caller});
      return;
    }
    http::RespondCommand answer{.exchange = call.caller,
                                .status = end->status,
                                .body = std::move(end->body)};
    answer.headers.Add("Content-Type", "application/json");
    server_.Execute(std::move(answer));
  }

  boost::asio::io_context& io_;
  std::string store_;
  std::string address_;
  DelayOf delay_of_;
  http::Server server_;
  http::Client client_;
  uint64_t last_exchange_ = 0;
  int writes_ = 0;
  std::map<ExchangeId, Call> calls_;
};

}  // namespace review

#endif  // REVIEW_STORE_PROXY_2_HPP_
