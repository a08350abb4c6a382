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

}  // namespace knapweedstile::users_site
