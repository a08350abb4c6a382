#include "cluster/job_holders.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace knapweedstile::cluster {
namespace {

constexpr int kJobs = 4000;

std::string JobOf(int job) { return "job-" + std::to_string(job); }

// Three zones, each with two strong gateways, one middling and four small ones.
std::vector<HolderCandidate> UnevenFleet() {
  std::vector<HolderCandidate> fleet;
  for (const std::string zone : {"a", "b", "c"}) {
    for (const auto& [name, cores] :
         std::map<std::string, double>{{"big-1", 0.5},
                                       {"big-2", 0.5},
                                       {"mid", 0.22},
                                       {"small-1", 0.07},
                                       {"small-2", 0.07},
                                       {"small-3", 0.07},
                                       {"small-4", 0.07}}) {
      fleet.push_back({.name = std::string(zone).append("-").append(name),
                       .availability_zone = zone,
                       .processor_share = cores});
    }
  }
  return fleet;
}

// Shares of the jobs accepted in zone "a", by owner.
std::map<std::string, double> OwnedShares(const JobHolders& holders) {
  std::map<std::string, double> shares;
  for (int job = 0; job < kJobs; ++job) {
    shares[holders.Choose(JobOf(job), "a").owner] += 1.0 / kJobs;
  }
  return shares;
}

}  // namespace

TEST_CASE("holders share the jobs by their cores, in two zones") {
  const JobHolders holders(UnevenFleet());
  const auto shares = OwnedShares(holders);
  CHECK(shares.size() == 7);
  CHECK(shares.at("a-big-1") == Approx(0.5 / 1.5).margin(0.03));
  CHECK(shares.at("a-mid") == Approx(0.22 / 1.5).margin(0.03));
  CHECK(shares.at("a-small-1") == Approx(0.07 / 1.5).margin(0.02));
  std::map<char, int> seconds;
  for (int job = 0; job < kJobs; ++job) {
    ++seconds[holders.Choose(JobOf(job), "a").second.front()];
  }
  CHECK_FALSE(seconds.contains('a'));
  CHECK(std::min(seconds['b'], seconds['c']) > kJobs / 3);
}

// Guards against a busy gateway that gets more jobs, and against a zone that
// holds none because all its gateways are busy.
TEST_CASE("a gateway without headroom holds fewer jobs") {
  auto fleet = UnevenFleet();
  fleet.front().headroom = 0;
  CHECK(OwnedShares(JobHolders(fleet)).at("a-big-1") < 0.08);
  for (HolderCandidate& candidate : fleet) candidate.headroom = 0;
  CHECK(OwnedShares(JobHolders(fleet)).at("a-big-1") > 0.25);
}

// Guards against losing most jobs of a zone with one gateway.
TEST_CASE("a strong gateway's share is bounded") {
  auto fleet = UnevenFleet();
  fleet.front().processor_share = 64;
  CHECK(OwnedShares(JobHolders(fleet)).at("a-big-1") ==
        Approx(0.75).margin(0.03));
}

// Guards against a restart that moves the jobs of gateways that stay.
TEST_CASE("a gateway that leaves moves only its own jobs") {
  auto fleet = UnevenFleet();
  const JobHolders before(fleet);
  fleet.erase(fleet.begin() + 3);  // a-small-1
  const JobHolders after(fleet);
  std::reverse(fleet.begin(), fleet.end());
  const JobHolders reordered(fleet);
  for (int job = 0; job < kJobs; ++job) {
    const HolderPair pair = before.Choose(JobOf(job), "a");
    CHECK(after.Choose(JobOf(job), "a") == reordered.Choose(JobOf(job), "a"));
    if (pair.owner == "a-small-1") continue;
    CHECK(after.Choose(JobOf(job), "a") == pair);
  }
}

// Guards against an old gateway that takes an outline for the job, and runs it
// beside its second holder, during a rolling upgrade.
TEST_CASE("all gateways hold all jobs while one takes no outlines") {
  auto fleet = UnevenFleet();
  fleet.back().takes_outlines = false;
  CHECK(JobHolders(fleet).Choose("job", "a") == HolderPair());
  fleet.back().takes_outlines = true;
  CHECK_FALSE(JobHolders(fleet).Choose("job", "a").second.empty());
}

TEST_CASE("one zone holds both copies, and a small fleet holds all jobs") {
  auto fleet = UnevenFleet();
  for (HolderCandidate& candidate : fleet) candidate.availability_zone = "a";
  for (int job = 0; job < 100; ++job) {
    const HolderPair pair = JobHolders(fleet).Choose(JobOf(job), "a");
    CHECK_FALSE(pair.second.empty());
    CHECK(pair.owner != pair.second);
  }
  // The accepting gateway's zone has no other gateway, and it is stopping.
  CHECK_FALSE(JobHolders(UnevenFleet()).Choose("job", "d").owner.empty());
  fleet.resize(4);
  CHECK(JobHolders(fleet).Choose("job", "a") == HolderPair());
}

// Guards against jobs that nobody runs for seconds, because their new owner
// can't start items.
TEST_CASE("a gateway that starts no items holds no new jobs") {
  std::vector<HolderCandidate> fleet = UnevenFleet();
  SECTION("one of its zone") {
    fleet.front().starts_items = false;
    const JobHolders holders(fleet);
    for (int job = 0; job < kJobs; ++job) {
      const HolderPair pair = holders.Choose(JobOf(job), "a");
      REQUIRE(pair.owner.starts_with("a-"));
      REQUIRE_FALSE(pair.second.starts_with("a-"));
      REQUIRE(pair.owner != "a-big-1");
      REQUIRE(holders.Choose(JobOf(job), "b").second != "a-big-1");
    }
  }
  SECTION("its whole zone") {
    for (HolderCandidate& candidate : fleet)
      candidate.starts_items = candidate.availability_zone != "a";
    const HolderPair pair = JobHolders(fleet).Choose("job", "a");
    CHECK_FALSE(pair.owner.starts_with("a-"));
    CHECK_FALSE(pair.second.starts_with("a-"));
  }
  SECTION("all but one") {
    for (HolderCandidate& candidate : fleet)
      candidate.starts_items = candidate.name == "b-mid";
    const HolderPair pair = JobHolders(fleet).Choose("job", "a");
    CHECK(pair.owner == "b-mid");
    CHECK_FALSE(pair.second.starts_with("b-"));
  }
  SECTION("all") {
    for (HolderCandidate& candidate : fleet) candidate.starts_items = false;
    const HolderPair pair = JobHolders(fleet).Choose("job", "a");
    CHECK(pair.owner.starts_with("a-"));
    CHECK_FALSE(pair.second.starts_with("a-"));
  }
}

}  // namespace knapweedstile::cluster
