#ifndef KNAPWEEDSTILE_HTTP_LOOPBACK_H_
#define KNAPWEEDSTILE_HTTP_LOOPBACK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "http/server.h"

namespace knapweedstile::http {

// Far longer than any step takes, so only failing tests reach it.
constexpr std::chrono::seconds kStepTimeout{30};

// Runs `io` until `done` returns true; false after kStepTimeout.
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& done) {
  const TimePoint limit = MonotonicNow() + kStepTimeout;
  while (!done()) {
    if (MonotonicNow() > limit) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

// A server that records its events, with an optional request handler.
struct TestServer {
  explicit TestServer(boost::asio::io_context& io, ServerSettings settings = {})
      : server(io, settings, [this](ServerEvent&& event) {
          if (reject_events) return false;
          if (auto* request = std::get_if<RequestEvent>(&event)) {
            requests.push_back(*request);
            if (on_request) on_request(*request);
          } else {
            disconnects.push_back(std::get<DisconnectEvent>(event).exchange);
          }
          return true;
        }) {
    const Result<uint16_t> bound = server.Listen("127.0.0.1:0");
    port = bound ? bound.value() : 0;
    address = "127.0.0.1:" + std::to_string(port);
  }

  void Respond(ExchangeId exchange, std::string body) {
    server.Execute(
        RespondCommand{.exchange = exchange, .body = std::move(body)});
  }

  Server server;
  bool reject_events = false;
  std::function<void(const RequestEvent&)> on_request;
  std::vector<RequestEvent> requests;
  std::vector<ExchangeId> disconnects;
  uint16_t port = 0;
  std::string address;
};

// What a scripted server does with a connection after its answer.
enum class AfterAnswer {
  kKeepOpen,  // reads the next request
  kClose,     // sends no more, and reads until the client closes
  kReset,     // even if the client is still sending
};

// A server that answers the requests on each connection with scripted bytes. It
// reads the head of a request only, before it answers.
class ScriptedServer {
 public:
  explicit ScriptedServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  // Bytes for the next requests, over all connections, in order.
  std::vector<std::string> answers;
  AfterAnswer after = AfterAnswer::kKeepOpen;
  size_t connections = 0;

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept() {
    acceptor_.async_accept([this](const auto& ec, Socket accepted) {
      if (ec) return;
      ++connections;
      Serve(std::make_shared<Socket>(std::move(accepted)),
            std::make_shared<std::string>());
      Accept();
    });
  }
  void Serve(const std::shared_ptr<Socket>& socket,
             const std::shared_ptr<std::string>& input) {
    boost::asio::async_read_until(
        *socket, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
        [this, socket, input](const auto& ec, size_t bytes) {
          if (ec || answers.empty()) return;
          input->erase(0, bytes);
          boost::system::error_code write_ec;
          boost::asio::write(*socket, boost::asio::buffer(answers.front()),
                             write_ec);
          answers.erase(answers.begin());
          if (after == AfterAnswer::kKeepOpen) return Serve(socket, input);
          End(socket, input);
        });
  }
  void End(const std::shared_ptr<Socket>& socket,
           const std::shared_ptr<std::string>& input) {
    boost::system::error_code ec;
    if (after == AfterAnswer::kReset) {
      socket->set_option(boost::asio::socket_base::linger(true, 0), ec);
      socket->close(ec);
      return;
    }
    socket->shutdown(Socket::shutdown_send, ec);
    boost::asio::async_read(*socket, boost::asio::dynamic_buffer(*input),
                            [socket, input](const auto&, size_t) {});
  }

  boost::asio::ip::tcp::acceptor acceptor_;
};

// A server that answers each request with `start` and then `unit` again and
// again, until the client closes the connection.
class EndlessServer {
 public:
  EndlessServer(boost::asio::io_context& io, std::string start,
                const std::string& unit)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        start_(std::move(start)) {
    constexpr size_t kBlockBytes = 64 << 10;
    while (block_.size() < kBlockBytes) block_ += unit;
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  // Bounds the memory of a client that reads on; the connection stays open.
  static constexpr uint64_t kMaxSentBytes = 128 << 20;
  uint64_t sent_bytes = 0;  // on all connections
  size_t closed = 0;        // connections

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Accept() {
    acceptor_.async_accept([this](const auto& ec, Socket accepted) {
      if (ec) return;
      auto socket = std::make_shared<Socket>(std::move(accepted));
      auto input = std::make_shared<std::string>();
      boost::asio::async_read_until(
          *socket, boost::asio::dynamic_buffer(*input), "\r\n\r\n",
          [this, socket, input](const auto& read_ec, size_t) {
            if (!read_ec) Write(socket, start_.empty() ? block_ : start_);
          });
      Accept();
    });
  }
  void Write(const std::shared_ptr<Socket>& socket, const std::string& bytes) {
    boost::asio::async_write(*socket, boost::asio::buffer(bytes),
                             [this, socket](const auto& ec, size_t count) {
                               sent_bytes += count;
                               if (ec) {
                                 ++closed;
                               } else if (sent_bytes < kMaxSentBytes) {
                                 Write(socket, block_);
                               } else {
                                 open_.push_back(socket);
                               }
                             });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string start_;
  std::string block_;
  std::vector<std::shared_ptr<Socket>> open_;  // that send nothing more
};

// A client that records its events.
struct TestClient {
  explicit TestClient(boost::asio::io_context& io, ClientSettings settings = {})
      : client(io, settings, [this](ClientEvent&& event) {
          if (auto* head = std::get_if<HeadEvent>(&event)) {
            heads.push_back(*head);
          } else if (auto* body = std::get_if<BodyEvent>(&event)) {
            streamed += body->data;
          } else {
            ends.push_back(std::get<EndEvent>(event));
          }
        }) {}

  Client client;
  std::vector<HeadEvent> heads;
  std::string streamed;
  std::vector<EndEvent> ends;
};

// A caller over a plain socket, for malformed, partial and pipelined requests.
class RawCaller {
 public:
  RawCaller(boost::asio::io_context& io, uint16_t port) : socket_(io) {
    socket_.connect({boost::asio::ip::address_v4::loopback(), port});
    socket_.non_blocking(true);
  }

  // Sends as much as the kernel accepts; false once the connection has failed.
  bool Send(std::string_view text) {
    boost::system::error_code ec;
    socket_.write_some(boost::asio::buffer(text.data(), text.size()), ec);
    return !ec || ec == boost::asio::error::would_block;
  }

  // Reads all bytes that have arrived.
  void Poll() {
    boost::system::error_code ec;
    std::string buffer(64 << 10, '\0');
    while (!ec) {
      const size_t n = socket_.read_some(boost::asio::buffer(buffer), ec);
      received.append(buffer, 0, n);
    }
    if (ec != boost::asio::error::would_block) ended = true;
  }

  // Whether the server has closed the connection.
  bool Ended() {
    Poll();
    return ended;
  }
  // Whether the bytes received so far contain `text`.
  bool Received(std::string_view text) {
    Poll();
    return received.find(text) != std::string::npos;
  }
  void Close() { socket_.close(); }
  boost::asio::ip::tcp::socket& socket() { return socket_; }

  std::string received;
  bool ended = false;

 private:
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_LOOPBACK_H_
