// A backend server's VM is about to go. The platform's VM list says so, or its
// process just falls silent; whichever comes first, owners' requests must go
// elsewhere within seconds, or they end in a server that is not there.

#include <catch2/catch.hpp>

#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

struct Scene {
  Scene() {
    fleet.AddEngine("engine-1", {});
    fleet.AddEngine("engine-2", {});
    fleet.AddEntry("entry-1");
    REQUIRE(fleet.WaitUntilReady());
    load.emplace(fleet.caller(), ledger, fleet.callers(), 6, 10);
    REQUIRE(load->RunUntil([&] { return fleet.Starts("engine-1") > 3; }));
  }

  // The entry no longer counts engine-1 among its servers.
  void WaitUntilOut() {
    REQUIRE(load->RunUntil([&] {
      const std::string status =
          fleet.caller().Get(fleet.admin("entry-1"), "/status").body;
      const size_t at = status.find(R"("name":"engine-1")");
      const size_t end = status.find('}', at);
      return at == std::string::npos ||
             status.substr(at, end - at).find(R"("state":"in")") ==
                 std::string::npos;
    }));
  }

  void Judge() {
    REQUIRE(load->Finish());
    fleet.ReadRunLogs(ledger);
    CHECK(ledger.Faults() == kNone);
  }

  Fleet fleet;
  Ledger ledger;
  std::optional<OnlineLoad> load;
};

}  // namespace

TEST_CASE("a server that the VM list shows as leaving gets no new work") {
  Scene scene;
  scene.fleet.MarkLeaving("engine-1");
  scene.WaitUntilOut();
  const int starts = scene.fleet.Starts("engine-1");
  const size_t answered = scene.ledger.answered();
  REQUIRE(scene.load->RunUntil(
      [&] { return scene.ledger.answered() >= answered + 40; }));
  // What was under way when it left the count may still have arrived.
  CHECK(scene.fleet.Starts("engine-1") <= starts + 6);
  CHECK(scene.load->failures() == kNone);
  scene.Judge();
}

TEST_CASE("a server whose sidecar falls silent gets no new work") {
  Scene scene;
  scene.fleet.sidecar("engine-1").Pause();
  scene.WaitUntilOut();
  const int starts = scene.fleet.Starts("engine-1");
  const size_t answered = scene.ledger.answered();
  REQUIRE(scene.load->RunUntil(
      [&] { return scene.ledger.answered() >= answered + 40; }));
  CHECK(scene.fleet.Starts("engine-1") == starts);
  scene.Judge();
}

}  // namespace knapweedstile::harness
