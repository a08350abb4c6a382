// A device between an entry and a sidecar forgets the connection: both ends
// keep it open, nothing passes any more, and new connections work. Without
// heartbeats the entry goes on sending into it and every answer is lost.

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include "harness/batch_job.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

void FreezeUnderLoad(const char* mode) {
  Fleet fleet;
  fleet.AddEngine("engine-1", {.token_ms = 10, .behind_proxy = true});
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  Ledger ledger;
  BatchJob job(fleet.caller(), ledger, "job");
  for (int i = 0; i < 20; ++i) {
    const std::string name = "item-" + std::to_string(i);
    job.AddItem(name, PromptOf(name, 30), 30);
  }
  REQUIRE(job.Submit(fleet.callers("entry-1")));
  OnlineLoad load(fleet.caller(), ledger, fleet.callers(), 3, 30);
  REQUIRE(load.RunUntil([&] { return fleet.InFlight("engine-1") > 1; }));

  fleet.Strike("engine-1",
               std::string(R"({"only_existing":true,"mode":")") + mode + "\"}");
  const size_t answered = ledger.answered();
  REQUIRE(load.RunUntil([&] { return ledger.answered() >= answered + 10; }));
  REQUIRE(load.Finish());
  const json::value counts = json::parse(fleet.FaultCounts("engine-1"));
  CHECK(counts.at(mode).at("connections").as_int64() >= 1);
  CHECK(counts.at("accepted").as_int64() >= 2);
  REQUIRE(job.WaitForState(fleet.callers("entry-1"), "completed"));
  REQUIRE(job.ReadResults(fleet.callers("entry-1")));
  fleet.ReadRunLogs(ledger);
  CHECK(ledger.Faults() == kNone);
}

}  // namespace

TEST_CASE("a connection silent in both directions is replaced") {
  FreezeUnderLoad("freeze");
}

TEST_CASE("a connection silent towards the sidecar is replaced") {
  FreezeUnderLoad("freeze_to_server");
}

TEST_CASE("a connection silent towards the entry is replaced") {
  FreezeUnderLoad("freeze_to_client");
}

}  // namespace knapweedstile::harness
