// A VM is lost without a word: the kernel closes its connections and every
// request in its hands is gone. Owners must get an answer or the truth about
// their request; a manifest item that was being made is made elsewhere and
// counts once, also when the lost process had made it already.

#include <catch2/catch.hpp>

#include "harness/batch_job.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

struct Scene {
  Scene() : job(fleet.caller(), ledger, "job") {
    fleet.AddEngine("engine-1", {.token_ms = 20});
    fleet.AddEngine("engine-2", {.token_ms = 20});
    fleet.AddEntry("entry-1");
    fleet.AddEntry("entry-2");
    REQUIRE(fleet.WaitUntilReady());
    for (int i = 0; i < 40; ++i) {
      const std::string name = "item-" + std::to_string(i);
      job.AddItem(name, PromptOf(name, 30), 30);
    }
    REQUIRE(job.Submit(fleet.callers("entry-1")));
    load.emplace(fleet.caller(), ledger, fleet.callers(), 4, 30);
    REQUIRE(load->RunUntil([&] { return fleet.InFlight("engine-1") > 1; }));
  }

  // Everything that was accepted is done and nothing was doubled.
  void Judge() {
    const std::string& entry = fleet.callers("entry-2");
    const size_t answered = ledger.answered();
    REQUIRE(load->RunUntil([&] { return ledger.answered() >= answered + 10; }));
    REQUIRE(load->Finish());
    REQUIRE(job.WaitForState(entry, "completed"));
    REQUIRE(job.ReadResults(entry));
    CHECK(job.results() == 40);
    fleet.ReadRunLogs(ledger);
    CHECK(ledger.Faults() == kNone);
  }

  Fleet fleet;
  Ledger ledger;
  BatchJob job;
  std::optional<OnlineLoad> load;
};

}  // namespace

TEST_CASE("SIGKILL of an engine with requests in flight") {
  Scene scene;
  scene.fleet.backend_server("engine-1").Kill();
  // Its log ends with requests that it had begun.
  CHECK(scene.fleet.InFlight("engine-1") > 0);
  scene.Judge();
}

TEST_CASE("SIGKILL of a sidecar with requests in flight") {
  Scene scene;
  scene.fleet.sidecar("engine-1").Kill();
  // The engine saw the sidecar's connections close under its streams.
  REQUIRE(scene.fleet.caller().RunUntil([&] {
    return ReadFile(scene.fleet.run_log("engine-1"))
               .find(R"("event":"cancel")") != std::string::npos;
  }));
  scene.Judge();
}

TEST_CASE("SIGKILL of an entry with requests in flight") {
  Scene scene;
  scene.fleet.entry("entry-1").Kill();
  scene.load->UseEntries({scene.fleet.callers("entry-2")});
  scene.Judge();
  // Its callers' requests were in flight: they saw the connection close.
  CHECK(scene.ledger.failed() > 0);
}

}  // namespace knapweedstile::harness
