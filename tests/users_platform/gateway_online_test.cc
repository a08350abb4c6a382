#include <catch2/catch.hpp>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

constexpr char kFiveEvents[] =
    "id: 1\ndata: word 1\n\nid: 2\ndata: word 2\n\nid: 3\ndata: word 3\n\n"
    "id: 4\ndata: word 4\n\nid: 5\ndata: word 5\n\n";

// One gateway before two model servers and one plain server.
struct OneGateway {
  Site site;
  ModelServer& first;
  ModelServer& second;
  ModelServer& plain;

  OneGateway()
      : first(site.AddServer("llm", "i-1")),
        second(site.AddServer("llm", "i-2")),
        plain(site.AddServer("app", "i-3")) {
    site.Configure(2);
    site.AddGateway("entry-1");
  }
  size_t Runs() const {
    return first.runs().size() + second.runs().size() + plain.runs().size();
  }
};

}  // namespace

TEST_CASE("a stream arrives whole, with what the caller sent unchanged") {
  OneGateway fleet;
  const auto end = fleet.site.Call(
      fleet.site.Online("entry-1", "POST", "/query/7?a=b", "r1"));
  CHECK(end.status == 200);
  CHECK(end.body == kFiveEvents);
  CHECK(end.headers.Find("Request-Id") == "r1");
  CHECK_FALSE(end.headers.Find("Response-Signature").empty());
  REQUIRE(fleet.Runs() == 1);
  const auto& run = fleet.first.runs().empty() ? fleet.second.runs().front()
                                               : fleet.first.runs().front();
  CHECK(run.target == "/query/7?a=b");
  CHECK(run.body == "prompt of r1");
  CHECK(run.headers.Find("Model") == "m");
  CHECK(std::stoi(std::string(run.headers.Find("Request-Deadline"))) <= 3000);
}

TEST_CASE("unknown routes are 404, and 503 before any configuration") {
  Site site;
  site.AddServer("llm", "i-1");
  site.StartGateway("entry-1");
  CHECK(site.caller().RunUntil([&] {
    return site.Call(site.Online("entry-1", "POST", "/query/1", "r1")).status ==
           503;
  }));
  CHECK_FALSE(site.Ready("entry-1"));
  site.Configure(3);
  CHECK(site.caller().RunUntil([&] { return site.Ready("entry-1"); }));
  CHECK(site.Call(site.Online("entry-1", "POST", "/nowhere/1", "r2")).status ==
        404);
  CHECK(site.Call(site.Online("entry-1", "POST", "/query/1", "r3")).status ==
        200);
}

// A server fills up and says that it did not run the request. The caller must
// get its answer from another one, and no refusal.
TEST_CASE("a request that did not run is tried elsewhere") {
  OneGateway fleet;
  fleet.first.refuse_next = 1;
  fleet.second.refuse_next = 1;
  for (int i = 0; i < 4; ++i) {
    const auto end = fleet.site.Call(fleet.site.Online(
        "entry-1", "POST", "/query/1", "r" + std::to_string(i)));
    CHECK((end.status == 200 || end.status == 503));
    if (end.status == 503) {
      CHECK_FALSE(end.headers.Find("Retry-After").empty());
    }
  }
}

// The address of a server that ended was given to a server of another service.
// Sending a request there would run it where no route leads.
TEST_CASE("a server at a reused address does not get the request") {
  OneGateway fleet;
  fleet.first.other_instance = true;
  for (int i = 0; i < 6; ++i) {
    const auto end = fleet.site.Call(fleet.site.Online(
        "entry-1", "POST", "/query/1", "r" + std::to_string(i)));
    CHECK(end.status == 200);
  }
  CHECK(fleet.first.runs().empty());
}

// A server breaks off in the middle of an event of a stream that may be
// resumed. The caller sees one answer without a hole or a repeat.
TEST_CASE("a resumable stream goes on at another server") {
  OneGateway fleet;
  fleet.first.break_after = 2;
  fleet.second.break_after = 2;
  const auto end =
      fleet.site.Call(fleet.site.Online("entry-1", "POST", "/reply/1", "r1"));
  // The second server breaks too when it is the first to be asked: one attempt
  // is left then, after the other's events.
  if (end.outcome == http::ClientOutcome::kComplete) {
    CHECK(end.body == kFiveEvents);
  }
  REQUIRE(fleet.Runs() == 2);
}

TEST_CASE("a resumed stream asks for what is missing only") {
  OneGateway fleet;
  fleet.site.RemoveServer(fleet.second);
  fleet.site.caller().RunFor(std::chrono::milliseconds(200));
  fleet.first.break_after = 2;
  const auto broken =
      fleet.site.Call(fleet.site.Online("entry-1", "POST", "/query/1", "r0"));
  // It may not be resumed: it must not look complete.
  CHECK(broken.outcome != http::ClientOutcome::kComplete);
  CHECK(fleet.Runs() == 1);
}

// Front-desk staff confirm an arrival; the answer is spoilt on its way. The
// request may have run, so it must not be sent again, nor be called not run.
TEST_CASE("what may have run and may not be repeated is not sent again") {
  OneGateway fleet;
  fleet.plain.foreign_next = 1;
  const auto end =
      fleet.site.Call(fleet.site.Online("entry-1", "GET", "/book/1", "r1"));
  CHECK(end.status == 502);
  CHECK(fleet.plain.runs().size() == 1);
}

TEST_CASE("an answer to another request or without signature is not passed") {
  OneGateway fleet;
  ModelServer& other = fleet.site.AddServer("app", "i-4");
  fleet.site.caller().RunFor(std::chrono::milliseconds(200));
  fleet.plain.foreign_next = 1;
  other.unsigned_next = 1;
  for (int i = 0; i < 3; ++i) {
    const auto end = fleet.site.Call(fleet.site.Online(
        "entry-1", "GET", "/ping/1", "r" + std::to_string(i)));
    if (end.status == 200) CHECK(end.body == "plain answer");
    CHECK((end.status == 200 || end.status == 502));
  }
}

TEST_CASE("a server's own failure is passed on as it is") {
  OneGateway fleet;
  fleet.plain.fail_next = 1;
  const auto end =
      fleet.site.Call(fleet.site.Online("entry-1", "GET", "/book/1", "r1"));
  CHECK(end.status == 500);
  CHECK_FALSE(end.headers.Find("Response-Signature").empty());
  CHECK(fleet.plain.runs().size() == 1);
}

// A caller closes its connection while its stream runs. The server must not
// work on for nobody.
TEST_CASE("the work ends when its caller has gone") {
  OneGateway fleet;
  fleet.first.events = 10000;
  fleet.second.events = 10000;
  auto& caller = fleet.site.caller();
  auto request = fleet.site.Online("entry-1", "POST", "/query/1", "r1");
  request.stream_body = true;
  const ExchangeId exchange = caller.Begin(std::move(request));
  REQUIRE(caller.RunUntil(
      [&] { return !caller.answer(exchange).streamed.empty(); }));
  caller.Cancel(exchange);
  CHECK(caller.RunUntil([&] {
    const auto& runs =
        fleet.first.runs().empty() ? fleet.second.runs() : fleet.first.runs();
    return runs.front().cancelled;
  }));
}

// No server begins to answer. The route's time is over, and the caller must
// hear of it then and not later.
TEST_CASE("a route's timeout is answered in time") {
  OneGateway fleet;
  fleet.first.first_pause = std::chrono::seconds(60);
  fleet.second.first_pause = std::chrono::seconds(60);
  const auto end = fleet.site.Call(
      fleet.site.Online("entry-1", "POST", "/query/1", "r1", 20000));
  CHECK(end.status == 504);
}

TEST_CASE("a draining server gets no new requests") {
  OneGateway fleet;
  fleet.site.MarkDraining(fleet.first);
  fleet.site.caller().RunFor(std::chrono::milliseconds(300));
  for (int i = 0; i < 8; ++i) {
    CHECK(fleet.site
              .Call(fleet.site.Online("entry-1", "POST", "/query/1",
                                      "r" + std::to_string(i)))
              .status == 200);
  }
  CHECK(fleet.first.runs().empty());
}

// The store's watches hear nothing while a server starts to drain, then the
// history is dropped. Only a new list shows the change.
TEST_CASE(
    "a change that the watches missed is seen after the history is gone") {
  OneGateway fleet;
  fleet.site.store().SilenceWatches();
  fleet.site.MarkDraining(fleet.first);
  fleet.site.Configure(9);
  fleet.site.store().ForgetHistory();
  fleet.site.caller().RunFor(std::chrono::milliseconds(500));
  for (int i = 0; i < 6; ++i) {
    fleet.site.Call(fleet.site.Online("entry-1", "POST", "/query/1",
                                      "r" + std::to_string(i)));
  }
  CHECK(fleet.first.runs().empty());
  CHECK(fleet.site.Metrics("entry-1").find("knap_configuration_version 9") !=
        std::string::npos);
}

// Entries of live servers lapse while the store is away and are written again
// within two seconds of its return. Callers must be served throughout.
TEST_CASE("servers whose entries lapsed in an outage are still used") {
  OneGateway fleet;
  fleet.site.store().SetHealth(ObjectStore::Health::kBusy);
  fleet.site.caller().RunFor(std::chrono::milliseconds(1500));
  fleet.site.RemoveServer(fleet.first);
  fleet.site.RemoveServer(fleet.second);
  fleet.site.store().SetHealth(ObjectStore::Health::kGood);
  fleet.site.caller().RunFor(std::chrono::milliseconds(1000));
  CHECK(fleet.site.Call(fleet.site.Online("entry-1", "POST", "/query/1", "r1"))
            .status == 200);
  fleet.site.caller().RunFor(std::chrono::milliseconds(2500));
  CHECK(fleet.site.Call(fleet.site.Online("entry-1", "POST", "/query/1", "r2"))
            .status == 503);
}

// The store is silent for seconds, and a configuration is written the moment it
// is back. Calls that were made in the silence are never answered: an entry
// that waits for one of them goes on with the old version.
TEST_CASE("a configuration written as the store returns is in force in time") {
  OneGateway fleet;
  fleet.site.store().SetHealth(ObjectStore::Health::kSilent);
  fleet.site.caller().RunFor(std::chrono::milliseconds(5500));
  fleet.site.store().SetHealth(ObjectStore::Health::kGood);
  fleet.site.Configure(9);
  fleet.site.caller().RunFor(std::chrono::milliseconds(1700));
  CHECK(fleet.site.Metrics("entry-1").find("knap_configuration_version 9") !=
        std::string::npos);
}

// An operator stops an entry while a stream runs through it. The caller gets
// the whole stream, and the entry says at once that it wants no new callers.
TEST_CASE("a planned stop cuts no request") {
  OneGateway fleet;
  fleet.first.events = 200;
  fleet.second.events = 200;
  fleet.first.event_pause = std::chrono::milliseconds(5);
  fleet.second.event_pause = std::chrono::milliseconds(5);
  auto& caller = fleet.site.caller();
  const ExchangeId exchange =
      caller.Begin(fleet.site.Online("entry-1", "POST", "/query/1", "r1"));
  REQUIRE(caller.RunUntil([&] { return fleet.Runs() == 1; }));
  fleet.site.process("entry-1").Terminate();
  CHECK(caller.RunUntil([&] { return !fleet.site.Ready("entry-1"); }));
  // Callers who do not know yet are still served.
  CHECK(fleet.site.Call(fleet.site.Online("entry-1", "GET", "/ping/1", "r2"))
            .status == 200);
  REQUIRE(caller.RunUntilEnd(exchange));
  CHECK(caller.answer(exchange).end->outcome == http::ClientOutcome::kComplete);
  CHECK(caller.RunUntil(
      [&] { return !fleet.site.process("entry-1").running(); }));
  CHECK(fleet.site.process("entry-1").exit_code() == 0);
}

// Operators write an older version again, by mistake. What was in force must
// not come back.
TEST_CASE("an older configuration never comes back") {
  OneGateway fleet;
  fleet.site.Configure(8);
  fleet.site.caller().RunFor(std::chrono::milliseconds(200));
  fleet.site.Configure(4);
  fleet.site.caller().RunFor(std::chrono::milliseconds(300));
  CHECK(fleet.site.Metrics("entry-1").find("knap_configuration_version 8") !=
        std::string::npos);
}

// A request crashes each server that begins to run it, and its caller sends it
// again under a new id. After the third crash it must reach no server any more.
TEST_CASE("a request that crashes servers is turned away") {
  OneGateway fleet;
  fleet.site.AddGateway("entry-2");
  fleet.plain.crash_body = "poison";
  for (int i = 0; i < 8; ++i) {
    auto request = fleet.site.Online(i % 2 == 0 ? "entry-1" : "entry-2", "POST",
                                     "/book/1", "r" + std::to_string(i));
    request.body = "poison";
    const auto end = fleet.site.Call(std::move(request));
    CHECK(end.status / 100 == 5);
    fleet.site.caller().RunFor(std::chrono::milliseconds(400));
  }
  CHECK(fleet.plain.runs().size() == 3);
  CHECK(fleet.site.Call(fleet.site.Online("entry-1", "GET", "/book/1", "ok"))
            .status == 200);
}

TEST_CASE("a store VM that is to be emptied is reported empty") {
  Site site;
  site.StartStore("store-1");
  site.store().Put("retirements", "store-1",
                   boost::json::object{{"duration_s", 10}});
  CHECK(site.caller().RunUntil([&] {
    const auto status = site.store().Status("retirements", "store-1");
    return status.is_object() && status.at("state") == "completed";
  }));
}

}  // namespace knapweedstile::users_site
