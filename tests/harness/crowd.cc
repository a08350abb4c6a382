#include "harness/crowd.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace knapweedstile::harness {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Long enough for the reader to take each piece by itself.
constexpr std::chrono::milliseconds kPause{20};
constexpr size_t kBlockBytes = 64 << 10;
constexpr size_t kReadBytes = 16 << 10;
constexpr size_t kMaxReceivedBytes = 64 << 10;

tcp::endpoint EndpointOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

class Crowd::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, CrowdScript script, int number)
      : socket_(io), timer_(io), script_(std::move(script)) {
    constexpr std::string_view kNumber = "NUMBER";
    for (std::string& piece : script_.pieces) {
      const size_t at = piece.find(kNumber);
      if (at != std::string::npos)
        piece.replace(at, kNumber.size(), std::to_string(number));
    }
    while (!script_.unit.empty() && block_.size() < kBlockBytes)
      block_ += script_.unit;
  }
  void Connect(const std::string& address) {
    socket_.async_connect(EndpointOf(address),
                          [self = shared_from_this()](const error_code& ec) {
                            if (ec) return self->OnClosed();
                            if (self->script_.reads) self->Read();
                            self->SendPiece(0);
                          });
  }
  void Close() {
    error_code ec;
    socket_.close(ec);
    timer_.cancel();
  }
  bool done() const noexcept { return closed_ || sent_all_; }
  bool closed() const noexcept { return closed_; }
  uint64_t progress() const noexcept { return progress_; }
  const std::string& received() const noexcept { return received_; }

 private:
  void Send(const std::string& bytes, void (Connection::*next)(size_t),
            size_t argument) {
    asio::async_write(socket_, asio::buffer(bytes),
                      [self = shared_from_this(), next, argument](
                          const error_code& ec, size_t count) {
                        self->progress_ += count;
                        if (ec) return self->OnClosed();
                        (*self.*next)(argument);
                      });
  }
  void SendPiece(size_t index) {
    if (index == script_.pieces.size()) return SendUnits(0);
    Send(script_.pieces[index], &Connection::OnPieceSent, index);
  }
  void OnPieceSent(size_t index) {
    if (index + 1 == script_.pieces.size()) return SendUnits(0);
    timer_.expires_after(kPause);
    timer_.async_wait([self = shared_from_this(), index](const error_code& ec) {
      if (!ec) self->SendPiece(index + 1);
    });
  }
  void SendUnits(size_t sent) {
    if (block_.empty() || sent >= script_.max_bytes) {
      sent_all_ = true;
      if (script_.closes) Close();
      return;
    }
    Send(block_, &Connection::SendUnits, sent + block_.size());
  }
  void Read() {
    buffer_.resize(kReadBytes);
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const error_code& ec, size_t count) {
          if (ec) return self->OnClosed();
          self->progress_ += count;
          const size_t room = kMaxReceivedBytes - self->received_.size();
          self->received_.append(self->buffer_, 0, std::min(count, room));
          self->Read();
        });
  }
  void OnClosed() {
    if (std::exchange(closed_, true)) return;
    ++progress_;
    Close();
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  CrowdScript script_;
  std::string block_;
  std::string buffer_;
  std::string received_;
  uint64_t progress_ = 0;
  bool sent_all_ = false;
  bool closed_ = false;
};

Crowd::Crowd(asio::io_context& io, const std::string& address, int count,
             const CrowdScript& script) {
  for (int i = 0; i < count; ++i) {
    connections_.push_back(std::make_shared<Connection>(io, script, i));
    connections_.back()->Connect(address);
  }
}

Crowd::~Crowd() {
  for (const auto& connection : connections_) connection->Close();
}

bool Crowd::Done() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& c) { return c->done(); });
}

uint64_t Crowd::progress() const noexcept {
  uint64_t sum = 0;
  for (const auto& connection : connections_) sum += connection->progress();
  return sum;
}

const std::string& Crowd::received(int connection) const {
  return connections_.at(static_cast<size_t>(connection))->received();
}

int Crowd::closed() const noexcept {
  return static_cast<int>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& c) { return c->closed(); }));
}

}  // namespace knapweedstile::harness
