#include <catch2/catch.hpp>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

// A gateway before two servers whose streams do not end.
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

// All gateways crash. The first one back lists the store's records, which takes
// most of a second. Meanwhile a caller ends a job through another gateway,
// which dies before it can tell anyone. The list was read before the end was
// written: by it alone the items of the job start once more, after they were to
// stop.
TEST_CASE(
    "a gateway that lists slowly starts nothing of a job that has ended") {
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

// A gateway crashes with items that have run for seconds, and is back at once:
// it goes on with its own jobs. Begun anew, with the work of seconds lost, they
// would be late.
TEST_CASE("items of a gateway that is back at once go on where they were") {
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
  int begun_anew = 0;
  for (const ModelServer* server : {&fleet.first, &fleet.second}) {
    for (const auto& run : server->runs()) begun_anew += run.first_event == 1;
  }
  CHECK(begun_anew == 4);
}

// A gateway dies while nothing else happens. The other cannot know what it may
// have taken on; as long as most of the limit on waiting tokens is free that
// does not matter, and jobs must not be turned away until the dead one is
// forgotten.
TEST_CASE("a gateway that is missing does not hold jobs back") {
  BusyFleet fleet;
  harness::Caller& caller = fleet.site.caller();
  fleet.site.AddGateway("entry-2");
  fleet.site.Configure(3, {{"max_count", 10000}});
  // The records' mirror has rested and waits for news.
  caller.RunFor(milliseconds(6500));
  fleet.site.process("entry-2").Kill();
  caller.RunFor(milliseconds(1200));
  CHECK(fleet.site.Call(fleet.site.Job("entry-1", "job-a", 3, 100)).status ==
        202);
}

// A backend server crashes without a word on its connections and is back under
// the name that it had. Its callers would wait for streams that nobody makes,
// and its slots would count as taken until then.
TEST_CASE(
    "what a server's former process held ends when the new one is known") {
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
  site.RestartUnderSameName(server);
  for (const ExchangeId stream : streams) {
    CHECK(caller.RunUntilEnd(stream));
    // Begun and broken off: neither whole nor "not run".
    CHECK(caller.answer(stream).end->outcome != http::ClientOutcome::kComplete);
  }
  server.events = 3;
  CHECK(site.Call(site.Online("entry-1", "POST", "/query/1", "r3")).status ==
        200);
  CHECK(server.runs().size() == 3);
}

// Another writer puts something else over a server's entry. The requests must
// go to the servers whose entries still hold.
TEST_CASE("a server whose entry was overwritten gets no request") {
  for (const json::value& entry : std::vector<json::value>{
           nullptr, "text", json::object{}, json::array{1},
           json::object{{"service", 5}, {"address", "127.0.0.1:1"}}}) {
    BusyFleet fleet;
    fleet.first.events = fleet.second.events = 2;
    fleet.site.store().Put("servers", "i-1", entry);
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
