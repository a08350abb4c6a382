// An operator replaces VMs one by one while owners ask and a job runs. The
// process gets SIGTERM with requests in its hands; a stop that closes its
// connections at once would cut them, and a notice that comes too late would
// let new ones run into the closed door. No caller may see anything.

#include <catch2/catch.hpp>

#include "harness/batch_job.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

void AddItems(BatchJob& job, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string name = "pet-" + std::to_string(i);
    job.AddItem(name, PromptOf(name, 40), 40);
  }
}

}  // namespace

TEST_CASE("SIGTERM of a sidecar under load cuts no request") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {.token_ms = 10});
  fleet.AddEngine("engine-2", {.token_ms = 10});
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  Ledger ledger;
  BatchJob job(fleet.caller(), ledger, "job");
  AddItems(job, 30);
  REQUIRE(job.Submit(fleet.callers("entry-1")));
  OnlineLoad load(fleet.caller(), ledger, fleet.callers(), 6, 40);
  REQUIRE(load.RunUntil([&] { return fleet.InFlight("engine-1") > 1; }));

  fleet.sidecar("engine-1").Terminate();
  const int in_flight_at_stop = fleet.InFlight("engine-1");
  REQUIRE(load.RunUntil([&] { return !fleet.sidecar("engine-1").running(); }));
  CHECK(in_flight_at_stop > 0);
  CHECK(fleet.sidecar("engine-1").exit_code() == 0);
  const size_t answered = ledger.answered();
  REQUIRE(load.RunUntil([&] { return ledger.answered() >= answered + 10; }));
  REQUIRE(load.Finish());
  CHECK(load.failures() == kNone);
  REQUIRE(job.WaitForState(fleet.callers("entry-1"), "completed"));
  REQUIRE(job.ReadResults(fleet.callers("entry-1")));
  fleet.ReadRunLogs(ledger);
  CHECK(ledger.Faults() == kNone);
}

TEST_CASE("SIGTERM of an entry answers what it has taken") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {.token_ms = 10});
  fleet.AddEntry("entry-1");
  fleet.AddEntry("entry-2");
  REQUIRE(fleet.WaitUntilReady());
  Ledger ledger;
  BatchJob job(fleet.caller(), ledger, "job");
  AddItems(job, 30);
  REQUIRE(job.Submit(fleet.callers("entry-1")));
  OnlineLoad load(fleet.caller(), ledger, fleet.callers(), 4, 40);
  REQUIRE(load.RunUntil([&] { return fleet.InFlight("engine-1") > 1; }));

  fleet.entry("entry-1").Terminate();
  CHECK(fleet.InFlight("engine-1") > 0);
  // The balancer sends elsewhere once it has seen the notice of leaving.
  REQUIRE(load.RunUntil([&] {
    return fleet.caller().Get(fleet.admin("entry-1"), "/readyz").status != 200;
  }));
  load.UseEntries({fleet.callers("entry-2")});
  REQUIRE(load.RunUntil([&] { return !fleet.entry("entry-1").running(); }));
  CHECK(fleet.entry("entry-1").exit_code() == 0);
  REQUIRE(load.Finish());
  CHECK(load.failures() == kNone);
  REQUIRE(job.WaitForState(fleet.callers("entry-2"), "completed"));
  REQUIRE(job.ReadResults(fleet.callers("entry-2")));
  fleet.ReadRunLogs(ledger);
  CHECK(ledger.Faults() == kNone);
}

}  // namespace knapweedstile::harness
