#include <catch2/catch.hpp>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

// A gateway in front of two servers whose streams do not end.
struct BusyFleet {
  Site site;
  ModelServer& first = site.AddServer("llm", "i-1");
  ModelServer& second = site.AddServer("llm", "i-2");

  BusyFleet() {
    first.events = second.events = 100000;
    site.Configure(2);
    site.AddGateway("entry-1");
  }
  size_t Runs() const { return first.runs().size() + second.runs().size(); }
};

}  // namespace

// Guards against starting items of an ended job. After a crash of all gateways,
// the first one to restart takes most of a second to list the store's records.
// During the list, a caller ends the job through another gateway, which crashes
// before it can report the end. The list does not contain the end, because it
// was read before.
TEST_CASE("a gateway that lists slowly starts no items of an ended job") {
  BusyFleet fleet;
  harness::Caller& caller = fleet.site.caller();
  REQUIRE(fleet.site.Call(fleet.site.Job("entry-1", "job-a", 3)).status == 202);
  REQUIRE(caller.RunUntil([&] { return fleet.Runs() >= 3; }));
  fleet.site.process("entry-1").Kill();
  fleet.site.store().DelayLists(milliseconds(800));
  fleet.site.RestartGateway("entry-1");
  caller.RunFor(milliseconds(300));
  fleet.site.store().Put("knapweedstile", "end.job-a", json::object());
  const size_t runs_before = fleet.Runs();
  REQUIRE(caller.RunUntil([&] { return fleet.site.Ready("entry-1"); }));
  caller.RunFor(milliseconds(1500));
  CHECK(fleet.Runs() == runs_before);
}

// Guards against restarting items from the beginning when a gateway that
// crashed restarts at once and continues its own jobs: items that lose seconds
// of work miss their deadline.
TEST_CASE(
    "items of a gateway that restarts at once resume after their last event") {
  BusyFleet fleet;
  fleet.first.events = fleet.second.events = 240;
  fleet.first.event_pause = fleet.second.event_pause = milliseconds(25);
  harness::Caller& caller = fleet.site.caller();
  fleet.site.AddGateway("entry-2");
  REQUIRE(fleet.site.Call(fleet.site.Job("entry-1", "job-a", 4)).status == 202);
  REQUIRE(caller.RunUntil([&] { return fleet.Runs() == 4; }));
  caller.RunFor(milliseconds(2500));
  fleet.site.process("entry-1").Kill();
  fleet.site.RestartGateway("entry-1");
  const auto page = fleet.site.WaitForResults("entry-2", "job-a", 4);
  REQUIRE(page.at("results").as_array().size() == 4);
  int restarted = 0;
  for (const ModelServer* server : {&fleet.first, &fleet.second}) {
    for (const auto& run : server->runs()) restarted += run.first_event == 1;
  }
  CHECK(restarted == 4);
}

// Guards against rejecting jobs until a killed gateway is removed from the
// fleet. What it may have accepted is unknown, which does not matter while most
// of the limit on waiting tokens is free.
TEST_CASE("an unreachable gateway does not block jobs") {
  BusyFleet fleet;
  harness::Caller& caller = fleet.site.caller();
  fleet.site.AddGateway("entry-2");
  fleet.site.Configure(3, {{"max_count", 10000}});
  // By now the mirror of the records has ended its pause and waits for changes.
  caller.RunFor(milliseconds(6500));
  fleet.site.process("entry-2").Kill();
  caller.RunFor(milliseconds(1200));
  CHECK(fleet.site.Call(fleet.site.Job("entry-1", "job-a", 3, 100)).status ==
        202);
}

// Guards against callers that wait for streams of a backend server that crashed
// without closing its connections and restarted under the same name, and
// against slots that count as occupied until then.
TEST_CASE(
    "requests at a server's previous process end when the new one registers") {
  Site site;
  ModelServer& server = site.AddServer("llm", "i-1", 2);
  server.events = 100000;
  site.Configure(2);
  site.AddGateway("entry-1");
  harness::Caller& caller = site.caller();
  std::vector<ExchangeId> streams;
  for (const char* id : {"r1", "r2"}) {
    auto request = site.Online("entry-1", "POST", "/query/1", id);
    request.stream_body = true;
    streams.push_back(caller.Begin(std::move(request)));
  }
  REQUIRE(caller.RunUntil([&] {
    return !caller.answer(streams[0]).streamed.empty() &&
           !caller.answer(streams[1]).streamed.empty();
  }));
  site.RegisterNewProcess(server);
  for (const ExchangeId stream : streams) {
    CHECK(caller.RunUntilEnd(stream));
    // Started and broken: neither complete nor reported as not run.
    CHECK(caller.answer(stream).end->outcome != http::ClientOutcome::kComplete);
  }
  server.events = 3;
  CHECK(site.Call(site.Online("entry-1", "POST", "/query/1", "r3")).status ==
        200);
  CHECK(server.runs().size() == 3);
}

// Guards against a server registration that another writer overwrites with
// invalid data: requests must go to servers with valid registrations.
TEST_CASE("a server whose registration was overwritten gets no request") {
  for (const json::value& record : std::vector<json::value>{
           nullptr, "text", json::object{}, json::array{1},
           json::object{{"service", 5}, {"address", "127.0.0.1:1"}}}) {
    BusyFleet fleet;
    fleet.first.events = fleet.second.events = 2;
    fleet.site.store().Put("servers", "i-1", record);
    fleet.site.caller().RunFor(milliseconds(200));
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(i);
      CHECK(
          fleet.site.Call(fleet.site.Online("entry-1", "POST", "/query/1", id))
              .status == 200);
    }
    CHECK(fleet.first.runs().empty());
    CHECK(fleet.second.runs().size() == 8);
  }
}

}  // namespace knapweedstile::users_site
