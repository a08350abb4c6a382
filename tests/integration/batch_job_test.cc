// Overnight, a job of care summaries is submitted, sent again because its
// caller believed it lost, and read page by page. A few of its lines can never
// be done; each ends with its own error and holds up no other.

#include "harness/batch_job.h"

#include <catch2/catch.hpp>

#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {

TEST_CASE("a batch job is done once, whole, beside online requests") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {});
  fleet.AddEngine("engine-2", {});
  fleet.AddEntry("entry-1");
  fleet.AddEntry("entry-2");
  REQUIRE(fleet.WaitUntilReady());
  Ledger ledger;
  BatchJob job(fleet.caller(), ledger, "night-1");
  for (int i = 0; i < 60; ++i) {
    const std::string name = "pet-" + std::to_string(i);
    job.AddItem(name, PromptOf(name, 10), 10);
    if (i == 30) job.AddMalformedLine(R"({"custom_id":"odd","body":7})");
  }
  // Well-formed, but nobody offers its model.
  job.AddMalformedLine(R"({"custom_id":"lost","body":{"model":"no-such-model",)"
                       R"("prompt":"a b","max_tokens":2}})");
  REQUIRE(job.Submit(fleet.callers("entry-1")));

  // Sent again by a caller that believes it lost, to the other entry.
  const http::EndEvent again = job.Send(fleet.callers("entry-2"));
  CHECK(again.status == 200);
  CHECK(again.body.find(job.id()) != std::string::npos);
  Ledger unused;
  BatchJob other(fleet.caller(), unused, "night-1");
  other.AddItem("x", "other body under the same key", 5);
  CHECK(other.Send(fleet.callers("entry-1")).status == 409);

  OnlineLoad load(fleet.caller(), ledger, fleet.callers(), 4, 10);
  REQUIRE(load.RunUntil([&] { return ledger.answered() >= 20; }));
  REQUIRE(load.Finish());
  CHECK(load.failures() == kNone);
  REQUIRE(job.WaitForState(fleet.callers("entry-1"), "completed"));
  REQUIRE(job.ReadResults(fleet.callers("entry-2")));
  CHECK(job.results() == 62);
  fleet.ReadRunLogs(ledger);
  CHECK(ledger.Faults() == kNone);
}

TEST_CASE("a cancelled job stops and keeps what it had") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {.slots = 1, .token_ms = 20});
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  const std::string& entry = fleet.callers("entry-1");
  Ledger ledger;
  BatchJob job(fleet.caller(), ledger, "night-2");
  for (int i = 0; i < 2000; ++i) {
    const std::string name = "pet-" + std::to_string(i);
    job.AddItem(name, PromptOf(name, 50), 50);
  }
  REQUIRE(job.Submit(entry));
  REQUIRE(
      fleet.caller().RunUntil([&] { return fleet.InFlight("engine-1") > 0; }));
  CHECK(fleet.caller()
            .Post(entry, "/v1/batches/" + job.id() + "/cancel", "")
            .status == 202);
  REQUIRE(job.WaitForState(entry, "cancelled"));
  REQUIRE(
      fleet.caller().RunUntil([&] { return fleet.InFlight("engine-1") == 0; }));
  const std::string runs = ReadFile(fleet.run_log("engine-1"));
  fleet.caller().RunFor(std::chrono::milliseconds(500));
  CHECK(ReadFile(fleet.run_log("engine-1")) == runs);
}

}  // namespace knapweedstile::harness
