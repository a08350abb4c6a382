#include "peers/configuration_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "http/server.h"

namespace knapweedstile::gateway {
namespace {

using std::chrono::milliseconds;

// Nothing listens there.
constexpr char kDeadAddress[] = "127.0.0.1:9";

// A gateway with a configuration, and one without that asks for it.
struct TwoLinks {
  boost::asio::io_context io;
  std::map<std::string, std::string> addresses;
  std::vector<platform::StoredObject> received;
  ConfigurationLink source{
      io,
      1,
      {.received = [](const auto&) {},
       .address_of = [](const std::string&) { return std::string(); }}};
  ConfigurationLink link{
      io,
      2,
      {.received = [this](const auto& object) { received.push_back(object); },
       .address_of =
           [this](const std::string& name) { return addresses[name]; }}};
  std::string older_response;  // of a gateway of an older version
  milliseconds response_delay{0};
  int requests = 0;
  http::Server server{io, {}, [this](http::ServerEvent&& event) {
                        const auto* request =
                            std::get_if<http::RequestEvent>(&event);
                        if (!request) return true;
                        CHECK(ConfigurationLink::IsTarget(request->target));
                        ++requests;
                        RespondLater(request->exchange);
                        return true;
                      }};

  TwoLinks() {
    const auto port = server.Listen("127.0.0.1:0");
    REQUIRE(port);
    addresses["live"] = "127.0.0.1:" + std::to_string(port.value());
    addresses["dead"] = kDeadAddress;
  }
  void RespondLater(ExchangeId exchange) {
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io, response_delay);
    timer->async_wait([this, timer, exchange](const auto& /*ec*/) {
      server.Execute(http::RespondCommand{
          .exchange = exchange,
          .body = older_response.empty() ? source.Response() : older_response});
    });
  }
  // Runs the link with that version for that long, or until it has received
  // something. Its advertisements are repeated like those of gateways.
  void Run(uint64_t version, const std::map<std::string, uint64_t>& advertised,
           milliseconds duration) {
    const TimePoint end = MonotonicNow() + duration;
    while (received.empty() && MonotonicNow() < end) {
      for (const auto& [gateway, known] : advertised) {
        link.OnAdvertised(gateway, known, MonotonicNow());
      }
      link.Run(version, MonotonicNow());
      io.run_for(milliseconds(10));
    }
  }
};

}  // namespace

// Guards against asking again and again a gateway that does not respond.
TEST_CASE("a configuration is fetched though some gateways do not respond") {
  for (int dead = 0; dead < 4; ++dead) {
    TwoLinks links;
    links.source.SetInForce(
        {.kind = "config", .name = "main", .version = 70, .value = "{}"});
    std::map<std::string, uint64_t> advertised = {{"live", 9}};
    for (int i = 0; i < dead; ++i) {
      const std::string name = "dead-" + std::to_string(i);
      links.addresses[name] = kDeadAddress;
      advertised[name] = 9;
    }
    links.Run(7, advertised, milliseconds(5000));
    REQUIRE(links.received.size() == 1);
    CHECK(links.received.front().name == "main");
    CHECK(links.received.front().version == 70);
    CHECK(links.received.front().value == "{}");
  }
}

// Guards against attempts over a jammed link that all begin again with a
// deadline that they can't meet.
TEST_CASE("a configuration is fetched from gateways that all respond late") {
  TwoLinks links;
  links.response_delay = milliseconds(3500);
  links.source.SetInForce({.name = "main", .version = 70, .value = "{}"});
  links.Run(7, {{"live", 9}}, milliseconds(20000));
  CHECK(links.received.size() == 1);
}

TEST_CASE("no gateway is asked for a version that is not newer") {
  TwoLinks links;
  links.source.SetInForce({.name = "main", .value = "{}"});
  links.Run(9, {{"live", 9}, {"dead", 7}}, milliseconds(700));
  CHECK(links.requests == 0);
}

// Guards against many transfers for a change that the readers deliver.
TEST_CASE("no gateway is asked before a change has had time to arrive") {
  TwoLinks links;
  links.source.SetInForce({.name = "main", .value = "{}"});
  links.Run(7, {{"live", 9}}, milliseconds(100));
  CHECK(links.requests == 0);
}

TEST_CASE("responses of gateways of older versions are ignored") {
  TwoLinks links;
  links.older_response = "{}";
  links.Run(7, {{"live", 9}}, milliseconds(700));
  CHECK(links.requests > 0);
  CHECK(links.received.empty());
}

}  // namespace knapweedstile::gateway
