// The platform's store takes a job's writes and loses its answers, then is out
// for a while. The caller believes the job lost and sends it again. It must be
// there once, and online requests must not notice that the store is out.

#include <catch2/catch.hpp>

#include "harness/batch_job.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {

TEST_CASE(
    "lost answers and an outage of the platform lose and double nothing") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {});
  fleet.AddEngine("engine-2", {});
  fleet.AddEntry("entry-1");
  fleet.AddEntry("entry-2");
  REQUIRE(fleet.WaitUntilReady());
  Caller& caller = fleet.caller();
  Ledger ledger;
  BatchJob job(caller, ledger, "job");
  for (int i = 0; i < 40; ++i) {
    const std::string name = "item-" + std::to_string(i);
    job.AddItem(name, PromptOf(name, 20), 20);
  }
  fleet.OrderPlatform(R"({"lose_answers":4})");
  REQUIRE(job.Submit(fleet.callers("entry-1")));
  const auto struck = [&](const char* what) {
    return caller.Get(fleet.platform(), "/control").body.find(what) !=
           std::string::npos;
  };
  REQUIRE(caller.RunUntil([&] { return struck(R"("answers_lost":4)"); }));
  REQUIRE(caller.RunUntil([&] { return fleet.InFlight("engine-1") > 0; }));

  fleet.OrderPlatform(R"({"outage_ms":2000,"lose_answers":4})");
  OnlineLoad load(caller, ledger, fleet.callers(), 3, 20);
  REQUIRE(load.RunUntil(
      [&] { return ledger.answered() >= 10 && struck("refused_in_outage"); }));
  REQUIRE(load.Finish());
  CHECK(load.failures() == kNone);

  REQUIRE(job.WaitForState(fleet.callers("entry-2"), "completed"));
  REQUIRE(job.ReadResults(fleet.callers("entry-2")));
  CHECK(job.results() == 40);
  CHECK(struck(R"("answers_lost":8)"));
  fleet.ReadRunLogs(ledger);
  CHECK(ledger.Faults() == kNone);
}

}  // namespace knapweedstile::harness
