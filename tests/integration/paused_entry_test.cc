// An entry that holds a job's lease is paused by its host for longer than the
// lease. The other entry takes over; when the first wakes it still believes
// itself in charge and has results in hand. Both would commit: each result must
// count once all the same.

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <map>

#include "harness/batch_job.h"
#include "harness/fleet.h"
#include "harness/online_load.h"

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

enum class Shards { kAll, kWithJobs };

// Holder by shard, by the store's own word.
std::map<std::string, std::string> Holders(Fleet& fleet, Shards which) {
  std::map<std::string, std::string> holders;
  const json::value page = json::parse(
      fleet.caller().Get(fleet.platform(), "/v1/objects/shard").body);
  for (const json::value& object : page.at("objects").as_array()) {
    const json::value head = json::parse(object.at("value").as_string());
    const bool idle = head.at("jobs").as_object().empty();
    if (idle && which == Shards::kWithJobs) continue;
    holders[object.at("name").as_string().c_str()] =
        head.at("holder").as_string().c_str();
  }
  return holders;
}

}  // namespace

TEST_CASE("an entry that wakes after its lease commits nothing twice") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {.token_ms = 20});
  fleet.AddEngine("engine-2", {.token_ms = 20});
  fleet.AddEntry("entry-1");
  fleet.AddEntry("entry-2");
  REQUIRE(fleet.WaitUntilReady());
  Caller& caller = fleet.caller();
  Ledger ledger;
  // Several jobs, so that several shards have some.
  std::vector<std::unique_ptr<BatchJob>> jobs;
  for (int j = 0; j < 6; ++j) {
    const std::string key = "job-" + std::to_string(j);
    jobs.push_back(std::make_unique<BatchJob>(caller, ledger, key));
    for (int i = 0; i < 12; ++i) {
      const std::string name = key + "-item-" + std::to_string(i);
      jobs.back()->AddItem(name, PromptOf(name, 20), 20);
    }
    REQUIRE(jobs.back()->Submit(fleet.callers("entry-2")));
  }
  REQUIRE(caller.RunUntil([&] {
    return fleet.InFlight("engine-1") > 1 && fleet.InFlight("engine-2") > 1 &&
           !Holders(fleet, Shards::kWithJobs).empty();
  }));
  const auto [shard, paused] = *Holders(fleet, Shards::kWithJobs).begin();
  const std::string other = paused == "entry-1" ? "entry-2" : "entry-1";

  fleet.entry(paused).Pause();
  // Every job ends without the paused entry: its leases have lapsed.
  for (const auto& job : jobs) {
    REQUIRE(job->WaitForState(fleet.callers(other), "completed"));
  }
  CHECK(Holders(fleet, Shards::kAll).at(shard) == other);
  fleet.entry(paused).Resume();
  REQUIRE(caller.GetUntil(
      fleet.admin(paused), "/healthz",
      [](const http::EndEvent& end) { return end.status == 200; }));
  for (const auto& job : jobs) {
    REQUIRE(job->ReadResults(fleet.callers(paused)));
    CHECK(job->results() == 12);
  }
  CHECK(ledger.Faults() == kNone);
}

}  // namespace knapweedstile::harness
