#include "peers/cell_claims.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "base/clock.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using boost::asio::ip::tcp;

// A store without records that answers one call when it is told to.
class HeldStore {
 public:
  explicit HeldStore(boost::asio::io_context& io)
      : io_(io), acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}) {}

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  // Waits for the next call.
  void Receive() {
    if (!connection_.is_open()) {
      bool accepted = false;
      acceptor_.async_accept(
          connection_,
          [&accepted](boost::system::error_code ec) { accepted = !ec; });
      RunUntil([&accepted] { return accepted; });
    }
    bool received = false;
    boost::asio::async_read_until(
        connection_, boost::asio::dynamic_buffer(request_), "\r\n\r\n",
        [&received](boost::system::error_code ec, size_t) { received = !ec; });
    RunUntil([&received] { return received; });
    request_.clear();
  }

  // Answers it, and waits until the caller has had time to handle the answer.
  void Answer() {
    boost::asio::write(connection_, boost::asio::buffer(std::string(
                                        "HTTP/1.1 404 Not Found\r\n"
                                        "Content-Length: 2\r\n\r\n{}")));
    io_.restart();
    io_.run_for(std::chrono::milliseconds(100));
  }

 private:
  template <typename Condition>
  void RunUntil(Condition condition) {
    io_.restart();
    const TimePoint deadline = MonotonicNow() + std::chrono::seconds(5);
    while (!condition() && MonotonicNow() < deadline)
      io_.run_one_for(std::chrono::milliseconds(100));
    REQUIRE(condition());
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::socket connection_{io_};
  std::string request_;
};

}  // namespace

// Guards against a gateway that acts for jobs of its departed cell, as it
// resumes and receives the answer to a read from before its suspension.
TEST_CASE("a read that began before a suspension confirms nothing") {
  boost::asio::io_context io;
  HeldStore store(io);
  StoreCalls calls(io, store.address());
  observe::Metrics metrics;
  CellClaims claims(calls, "front-1", metrics, [](const serving::Cell&) {});
  claims.SetOwnCell({.availability_zone = "zone-a"});

  claims.ReadOwnClaim(MonotonicNow());
  claims.Run(MonotonicNow(), {});
  store.Receive();
  claims.ReadOwnClaim(MonotonicNow());
  store.Answer();
  CHECK_FALSE(claims.is_confirmed());

  claims.Run(MonotonicNow(), {});
  store.Receive();
  store.Answer();
  CHECK(claims.is_confirmed());
}

}  // namespace knapweedstile::gateway
