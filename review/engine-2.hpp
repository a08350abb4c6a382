#ifndef REVIEW_ENGINE_2_HPP_
#define REVIEW_ENGINE_2_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/server.h"

namespace review {

// Stand-in of a model engine that runs items: numbered events of a chosen
// size, resumed after Last-Event-Id, work that ends when the connection closes.
class Engine {
 public:
  struct Run {
    std::string request;
    std::string target;
    uint64_t first_event = 1;
    knapweedstile::TimePoint started_at{};
    knapweedstile::TimePoint ended_at = knapweedstile::kNever;
    std::string end;  // complete, cancelled, crashed
  };

  Engine(boost::asio::io_context& io, std::string instance)
      : io_(io),
        instance_(std::move(instance)),
        server_(std::make_unique<knapweedstile::http::Server>(
            io, knapweedstile::http::ServerSettings(),
            [this](knapweedstile::http::ServerEvent&& event) {
              return OnEvent(std::move(event));
            })) {
    const uint16_t port = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<uint16_t> {
          return server_->Listen("127.0.0.1:0");
        },
        [] { return uint16_t{0}; });
    address_ = "127.0.0.1:" + std::to_string(port);
  }

  // Events of the request with this target, and the data of one.
  std::function<uint64_t(const std::string& target)> events =
      [](const std::string&) { return uint64_t{20}; };
  std::function<std::string(const std::string& target, uint64_t number)> data =
      [](const std::string&, uint64_t number) {
        return "word " + std::to_string(number);
      };
  std::chrono::milliseconds event_interval{30};

  const std::string& instance() const { return instance_; }
  const std::vector<Run>& runs() const { return runs_; }
  bool up() const { return server_ != nullptr; }

  template <class Store>
  void Register(Store& store, const std::string& service, int slots,
                const std::string& state = "ready") const {
    store.Put("servers", instance_,
              boost::json::object{{"service", service},
                                  {"address", address_},
                                  {"zone", "zone-a"},
                                  {"version", "v1"},
                                  {"slots", slots},
                                  {"state", state},
                                  {"sequence", 1}});
  }
  // The process ends: its connections and its port close.
  void Crash() {
    for (auto& [exchange, stream] : streams_) End(stream.run, "crashed");
    streams_.clear();
    server_->Close();
    server_.reset();
  }

 private:
  struct Stream {
    size_t run = 0;
    uint64_t next = 1;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void End(size_t run, const std::string& how) {
    runs_[run].ended_at = knapweedstile::MonotonicNow();
    runs_[run].end = how;
  }

  bool OnEvent(knapweedstile::http::ServerEvent&& event) {
    namespace http = knapweedstile::http;
    if (const auto* gone = std::get_if<http::DisconnectEvent>(&event)) {
      const auto stream = streams_.find(gone->exchange);
      if (stream == streams_.end()) return true;
      End(stream->second.run, "cancelled");
      streams_.erase(stream);
      return true;
    }
    const auto& request = std::get<http::RequestEvent>(event);
    const std::string id(request.headers.Find("Request-Id"));
    http::HeaderList headers;
    headers.Add("Request-Id", id);
    if (request.headers.Find("Expect-Instance") != instance_) {
      server_->Execute(http::RespondCommand{.exchange = request.exchange,
                                            .status = 421,
                                            .headers = std::move(headers)});
      return true;
    }
    runs_.push_back({.request = id,
                     .target = request.target,
                     .started_at = knapweedstile::MonotonicNow()});
    const std::string after(request.headers.Find("Last-Event-Id"));
    if (!after.empty()) runs_.back().first_event = std::stoull(after) + 1;
    headers.Add("Response-Signature", "signed-by-" + instance_);
    headers.Add("Content-Type", "text/event-stream");
    server_->Execute(http::BeginStreamCommand{.exchange = request.exchange,
                                              .status = 200,
                                              .headers = std::move(headers)});
    streams_[request.exchange] = {
        .run = runs_.size() - 1,
        .next = runs_.back().first_event,
        .timer = std::make_unique<boost::asio::steady_timer>(io_)};
    Schedule(request.exchange);
    return true;
  }

  void Schedule(knapweedstile::ExchangeId exchange) {
    auto& timer = *streams_.at(exchange).timer;
    timer.expires_after(event_interval);
    timer.async_wait([this, exchange](const auto& ec) {
      if (!ec) Next(exchange);
    });
  }

  void Next(knapweedstile::ExchangeId exchange) {
    namespace http = knapweedstile::http;
    const auto found = streams_.find(exchange);
    if (found == streams_.end()) return;
    Stream& stream = found->second;
    const std::string target = runs_[stream.run].target;
    if (stream.next > events(target)) {
      End(stream.run, "complete");
      streams_.erase(found);
      server_->Execute(
          http::StreamChunkCommand{.exchange = exchange, .last = true});
      return;
    }
    const uint64_t number = stream.next++;
    server_->Execute(http::StreamChunkCommand{
        .exchange = exchange,
        .data = "id: " + std::to_string(number) +
                "\ndata: " + data(target, number) + "\n\n"});
    if (streams_.contains(exchange)) Schedule(exchange);
  }

  boost::asio::io_context& io_;
  std::string instance_;
  std::string address_;
  std::vector<Run> runs_;
  std::map<knapweedstile::ExchangeId, Stream> streams_;
  std::unique_ptr<knapweedstile::http::Server> server_;
};

}  // namespace review

#endif  // REVIEW_ENGINE_2_HPP_
