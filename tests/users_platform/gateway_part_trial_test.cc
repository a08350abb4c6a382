#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two gateways in front of four servers that crash all at once, for a reason
// that is not in the requests.
struct UnluckyFleet {
  Site site;
  std::vector<ModelServer*> servers;
  int sent = 0;

  UnluckyFleet() {
    for (int i = 0; i < 4; ++i) {
      ModelServer& server = site.AddServer("llm", "i-" + std::to_string(i), 4);
      // No stream is complete before the second crash.
      server.events = 60;
      server.event_interval = milliseconds(30);
      servers.push_back(&server);
    }
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }
  ExchangeId Send() {
    const std::string id = "r" + std::to_string(++sent);
    const std::string gateway = "entry-" + std::to_string(sent % 2 + 1);
    auto request = site.OnlineRequest(gateway, "POST", "/reply/" + id, id);
    request.headers.Add("Prompt-Prefix",
                        "aa01:200,0" + std::to_string(sent) + ":50");
    return site.caller().Begin(std::move(request));
  }
  // Requests at both gateways, then the crash of all servers.
  void CrashAllUnderRequests() {
    for (int i = 0; i < 8; ++i) Send();
    site.caller().RunFor(milliseconds(400));
    for (ModelServer* server : servers) site.CrashServer(*server);
  }
  unsigned StatusOf(ExchangeId exchange) {
    const auto& end = site.caller().answer(exchange).end;
    return end ? end->status : 0;
  }
};

}  // namespace

// Guards against requests with a sound part that are refused for good after all
// servers crashed twice while they ran such requests: the requests themselves
// kept the quarantine alive, and none was let through to end it.
TEST_CASE("online requests with a sound part are served again after crashes") {
  UnluckyFleet fleet;
  Site& site = fleet.site;
  fleet.CrashAllUnderRequests();
  site.caller().RunFor(milliseconds(1000));
  fleet.CrashAllUnderRequests();
  // Until the part is quarantined; a request before that may clear it.
  site.caller().RunFor(seconds(2));
  const ExchangeId first = fleet.Send();
  site.caller().RunFor(milliseconds(300));
  REQUIRE(fleet.StatusOf(first) == 503);
  for (ModelServer* server : fleet.servers)
    server->event_interval = milliseconds(1);
  const TimePoint until = MonotonicNow() + seconds(50);
  bool served = false;
  int refused = 0;
  while (!served && MonotonicNow() < until) {
    const ExchangeId request = fleet.Send();
    site.caller().RunFor(milliseconds(250));
    served = fleet.StatusOf(request) == 200;
    refused += !served;
  }
  INFO("refused " << refused);
  CHECK(served);
  // By both gateways, from then on.
  site.caller().RunFor(milliseconds(1000));
  for (int i = 0; i < 6; ++i) {
    const ExchangeId request = fleet.Send();
    site.caller().RunFor(milliseconds(250));
    CHECK(fleet.StatusOf(request) == 200);
  }
}

}  // namespace knapweedstile::users_site
