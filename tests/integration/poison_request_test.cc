// One item of a job crashes each engine that runs it, as a malformed care
// summary does now and then. The engine comes back; without attribution the
// item is tried again and again, takes down every engine in turn with whatever
// else runs there, and the job never ends.

#include <catch2/catch.hpp>

#include "harness/batch_job.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

// More than any bound on attempts that would still be one.
constexpr int kTooManyCrashes = 12;

}  // namespace

TEST_CASE("an item that crashes engines ends as failed, the rest complete") {
  const std::vector<std::string> engines = {"engine-1", "engine-2", "engine-3"};
  Fleet fleet;
  for (const std::string& name : engines) {
    fleet.AddEngine(name, {.flags = {"--crash-word=boom"}});
  }
  fleet.AddEntry("entry-1");
  REQUIRE(fleet.WaitUntilReady());
  const std::string& entry = fleet.callers("entry-1");
  Ledger ledger;
  BatchJob job(fleet.caller(), ledger, "job");
  for (int i = 0; i < 30; ++i) {
    const std::string name = "item-" + std::to_string(i);
    job.AddItem(name, PromptOf(name, 10), 10);
    if (i == 15) job.AddHopelessItem("poison", "then boom it goes");
  }
  REQUIRE(job.Submit(entry));

  int crashes = 0;
  REQUIRE(fleet.caller().RunUntil([&] {
    for (const std::string& name : engines) {
      if (fleet.backend_server(name).running()) continue;
      ++crashes;
      fleet.RestartBackendServer(name);
    }
    return job.State(entry) == "completed";
  }));
  CHECK(crashes >= 1);
  CHECK(crashes <= kTooManyCrashes);
  REQUIRE(job.ReadResults(entry));
  CHECK(job.results() == 31);
  CHECK(ledger.Faults() == kNone);
}

}  // namespace knapweedstile::harness
