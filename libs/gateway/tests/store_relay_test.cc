#include "store/store_relay.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace knapweedstile::gateway {

// Guards against a gateway without the store whose calls all go through one
// peer that has lost it as well.
TEST_CASE("a relayed call avoids the peer of a failed one") {
  boost::asio::io_context io;
  std::vector<std::set<std::string>> avoided;
  StoreRelay relay(io, {.peer_address =
                            [&](const std::set<std::string>& addresses) {
                              avoided.push_back(addresses);
                              return std::string("127.0.0.1:9");
                            },
                        .perform = [](auto&&...) {},
                        .respond = [](auto&&...) {}});
  int failed = 0;
  const auto call = [&] {
    relay.Call(platform::ReadRequest{.kind = "config", .name = "main"},
               MonotonicNow() + std::chrono::milliseconds(500),
               [&](platform::StoreAnswer&& answer) {
                 failed += answer.outcome != platform::StoreOutcome::kOk;
               });
    io.restart();
    io.run_for(std::chrono::milliseconds(300));
  };
  call();
  call();
  REQUIRE(failed == 2);
  REQUIRE(avoided.size() == 2);
  CHECK(avoided.front().empty());
  CHECK(avoided.back() == std::set<std::string>{"127.0.0.1:9"});
}

}  // namespace knapweedstile::gateway
