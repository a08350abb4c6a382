#ifndef REVIEW_SLOW_LINK_2_HPP_
#define REVIEW_SLOW_LINK_2_HPP_

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "base/clock.h"

namespace review {

// The link of one machine to the platform's store: all its connections share
// so many bytes a second in the direction to the machine.
class SlowLink {
 public:
  SlowLink(boost::asio::io_context& io, const std::string& to,
           double bytes_per_second)
      : io_(io),
        acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        to_(boost::asio::ip::make_address("127.0.0.1"),
            static_cast<uint16_t>(std::stoi(to.substr(to.rfind(':') + 1)))),
        bytes_per_second_(bytes_per_second) {
    boost::asio::co_spawn(io_, Accept(), boost::asio::detached);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  double bytes() const { return bytes_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using SocketPointer = std::shared_ptr<Socket>;
  static auto Token(boost::system::error_code& ec) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, ec);
  }

  boost::asio::awaitable<void> Accept() {
    for (;;) {
      boost::system::error_code ec;
      auto client = std::make_shared<Socket>(io_);
      co_await acceptor_.async_accept(*client, Token(ec));
      if (ec) co_return;
      auto server = std::make_shared<Socket>(io_);
      co_await server->async_connect(to_, Token(ec));
      if (ec) continue;
      client->set_option(boost::asio::ip::tcp::no_delay(true), ec);
      server->set_option(boost::asio::ip::tcp::no_delay(true), ec);
      boost::asio::co_spawn(io_, Copy(client, server, false),
                            boost::asio::detached);
      boost::asio::co_spawn(io_, Copy(server, client, true),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Copy(SocketPointer from, SocketPointer to,
                                    bool limited) {
    std::string buffer(16384, '\0');
    boost::asio::steady_timer timer(io_);
    for (;;) {
      boost::system::error_code ec;
      const size_t count =
          co_await from->async_read_some(boost::asio::buffer(buffer), Token(ec));
      if (ec) break;
      if (limited) {
        // The link is free again at `free_at_`.
        bytes_ += static_cast<double>(count);
        const auto now = knapweedstile::MonotonicNow();
        free_at_ = std::max(free_at_, now) +
                   knapweedstile::FromSeconds(static_cast<double>(count) /
                                              bytes_per_second_);
        timer.expires_at(free_at_);
        co_await timer.async_wait(Token(ec));
      }
      co_await boost::asio::async_write(
          *to, boost::asio::buffer(buffer.data(), count), Token(ec));
      if (ec) break;
    }
    boost::system::error_code ec;
    from->close(ec);
    to->close(ec);
  }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint to_;
  double bytes_per_second_;
  double bytes_ = 0;
  knapweedstile::TimePoint free_at_{};
};

}  // namespace review

#endif  // REVIEW_SLOW_LINK_2_HPP_
