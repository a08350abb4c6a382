#ifndef KNAPWEEDSTILE_WIRE_TESTS_TCP_RELAY_H_
#define KNAPWEEDSTILE_WIRE_TESTS_TCP_RELAY_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace knapweedstile::wire {

// Forwards TCP connections to a port of this machine and can lose track of
// those that are open: their sockets stay open, nothing passes any more.
class TcpRelay {
 public:
  TcpRelay(boost::asio::io_context& io, uint16_t target)
      : io_(io),
        target_(boost::asio::ip::address_v4::loopback(), target),
        acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  void FreezeOpenConnections() {
    for (const auto& link : links_) link->frozen = true;
  }

  // Connections forwarded so far.
  size_t connections() const { return links_.size(); }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Link {
    explicit Link(boost::asio::io_context& io) : near(io), far(io) {}
    Socket near;
    Socket far;
    std::array<char, 65536> to_far;
    std::array<char, 65536> to_near;
    bool frozen = false;
  };

  void Accept() {
    auto link = std::make_shared<Link>(io_);
    acceptor_.async_accept(link->near, [this, link](auto error) {
      if (error) return;
      boost::system::error_code refused;
      link->far.connect(target_, refused);
      if (!refused) {
        links_.push_back(link);
        Forward(link, link->near, link->far, link->to_far);
        Forward(link, link->far, link->near, link->to_near);
      }
      Accept();
    });
  }

  static void Forward(const std::shared_ptr<Link>& link, Socket& from,
                      Socket& to, std::array<char, 65536>& buffer) {
    from.async_read_some(
        boost::asio::buffer(buffer),
        [link, &from, &to, &buffer](auto error, size_t size) {
          if (link->frozen) return;
          if (error) {
            boost::system::error_code ignored;
            to.close(ignored);
            return;
          }
          boost::asio::async_write(
              to, boost::asio::buffer(buffer, size),
              [link, &from, &to, &buffer](auto failed, size_t) {
                if (!failed && !link->frozen) Forward(link, from, to, buffer);
              });
        });
  }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Link>> links_;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_TESTS_TCP_RELAY_H_
