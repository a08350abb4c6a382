#include "cluster/fleet_view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace knapweedstile::cluster {
namespace {

constexpr int kZones = 5;

std::string NameOf(int gateway) { return "gateway-" + std::to_string(gateway); }

Member MemberOf(int gateway) {
  return {.address = "10.0.0.1:" + std::to_string(gateway),
          .availability_zone = "zone-" + std::to_string(gateway % kZones)};
}

// A fleet of `count` gateways as one of them sees it.
FleetView MakeView(int count, int own) {
  FleetView view(NameOf(own), MemberOf(own));
  for (int gateway = 0; gateway < count; ++gateway) {
    view.SetMember(NameOf(gateway), MemberOf(gateway));
  }
  view.SetLayout(view.NewLayout(kDefaultMaxUndividedGateways));
  view.Refresh();
  return view;
}

std::string JobOf(int job) { return "job-" + std::to_string(job); }

}  // namespace

// Guards against jobs whose records are no longer found: their place follows
// from the layout.
TEST_CASE("a layout that is in force is not replaced") {
  FleetView view(NameOf(1), MemberOf(1));
  CHECK_FALSE(view.layout_known());
  CHECK(view.SetLayout({}));
  CHECK(view.layout_known());
  CHECK_FALSE(view.SetLayout({.shards = 8}));
  CHECK(view.SetLayout({}));
  view.Refresh();
  CHECK_FALSE(view.divided());
}

TEST_CASE("a fleet beyond the size of an undivided one has several shards") {
  for (const size_t max_undivided : {1, 4, 128}) {
    CHECK_FALSE(LayoutFor(max_undivided, max_undivided).divided());
    CHECK(LayoutFor(max_undivided + 1, max_undivided).divided());
  }
}

TEST_CASE("the number of peers does not grow with the fleet") {
  for (const int count : {300, 315, 1000, 3191}) {
    CAPTURE(count);
    size_t most = 0;
    for (int own = 0; own < count; own += 29) {
      most = std::max(most, MakeView(count, own).Peers().size());
    }
    CHECK(most <= 40);
  }
}

TEST_CASE("a fleet of a hundred gateways is not divided") {
  const FleetView view = MakeView(100, 3);
  CHECK_FALSE(view.divided());
  CHECK(view.Peers().size() == 99);
  CHECK(view.HoldsJob(JobOf(1)));
}

// Guards against two gateways that look for a job at different holders.
TEST_CASE("all gateways agree on the holders of a job, all in one cell") {
  const FleetView one = MakeView(315, 0);
  const FleetView other = MakeView(315, 200);
  for (int job = 0; job < 200; ++job) {
    const auto holders = one.HoldersOf(JobOf(job));
    REQUIRE_FALSE(holders.empty());
    CHECK(holders == other.HoldersOf(JobOf(job)));
    const bool holds =
        std::find(holders.begin(), holders.end(), NameOf(0)) != holders.end();
    CHECK(one.HoldsJob(JobOf(job)) == holds);
  }
}

// Guards against jobs that are pushed to a whole cell over the link of a small
// VM.
TEST_CASE("gateways with more cores hold jobs first") {
  FleetView view = MakeView(315, 0);
  for (int gateway = 1; gateway < 315; gateway += 6) {
    Member strong = MemberOf(gateway);
    strong.processor_share = 8;
    view.SetMember(NameOf(gateway), strong);
  }
  view.Refresh();
  std::map<std::string, int> jobs_by_holder;
  for (int job = 0; job < 500; ++job) {
    const auto holders = view.HoldersOf(JobOf(job));
    const auto share = [&](const std::string& holder) {
      return view.ProcessorShareOf(holder);
    };
    CHECK(std::is_sorted(
        holders.begin(), holders.end(),
        [&](const auto& a, const auto& b) { return share(a) > share(b); }));
    ++jobs_by_holder[holders.front()];
  }
  CHECK(jobs_by_holder.size() > 25);
}

// Guards against a shard that no cell reads from the store.
TEST_CASE("each shard is held by one cell") {
  std::map<uint32_t, std::set<serving::Cell>> cells_by_shard;
  for (int own = 0; own < 315; ++own) {
    const FleetView view = MakeView(315, own);
    for (const uint32_t shard : view.OwnShards()) {
      cells_by_shard[shard].insert(view.own_cell());
    }
  }
  CHECK(cells_by_shard.size() == LayoutFor(315).shards);
  for (const auto& [shard, cells] : cells_by_shard) CHECK(cells.size() == 1);
}

// Guards against a fleet that moves its jobs whenever a gateway joins.
TEST_CASE("a gateway that joins moves no other gateway and no shard") {
  FleetView view = MakeView(315, 7);
  const auto peers = view.Peers();
  const auto shards = view.OwnShards();
  view.SetMember("late",
                 {.address = "10.0.0.2:1", .availability_zone = "zone-1"});
  CHECK(view.Refresh());
  const auto now = view.Peers();
  CHECK(std::includes(now.begin(), now.end(), peers.begin(), peers.end()));
  CHECK(view.OwnShards() == shards);
  CHECK_FALSE(view.Refresh());
}

// Guards against jobs that are not found, and run after their end, when a zone
// is divided anew because its size has changed.
TEST_CASE("zones that grow, shrink or appear move no job") {
  FleetView view = MakeView(195, 7);
  std::map<std::string, serving::Cell> cell_by_gateway;
  for (const auto& [name, member] : view.members()) {
    cell_by_gateway[name] = view.cells().CellOf(name);
  }
  std::map<std::string, std::vector<std::string>> holders_by_job;
  for (int job = 0; job < 200; ++job) {
    holders_by_job[JobOf(job)] = view.HoldersOf(JobOf(job));
    REQUIRE_FALSE(holders_by_job[JobOf(job)].empty());
  }
  const auto check = [&] {
    REQUIRE(view.Refresh());
    for (const auto& [name, cell] : cell_by_gateway) {
      CHECK(view.cells().CellOf(name) == cell);
    }
    for (const auto& [job, holders] : holders_by_job) {
      for (const std::string& holder : view.HoldersOf(job)) {
        CHECK(view.cells().CellOf(holder) ==
              cell_by_gateway.at(holders.front()));
      }
    }
  };
  for (int gateway = 195; gateway < 700; ++gateway) {
    view.SetMember(NameOf(gateway), MemberOf(gateway));
  }
  check();
  for (int gateway = 700; gateway < 760; ++gateway) {
    view.SetMember(NameOf(gateway),
                   {.address = "10.0.0.3:1", .availability_zone = "new-zone"});
  }
  check();
  for (int gateway = 0; gateway < 760; ++gateway) {
    if (gateway % 9 == 0 || gateway == 7) continue;
    view.RemoveMember(NameOf(gateway));
    cell_by_gateway.erase(NameOf(gateway));
  }
  for (auto& [job, holders] : holders_by_job) {
    std::erase_if(holders, [&](const auto& holder) {
      return !cell_by_gateway.contains(holder);
    });
  }
  std::erase_if(holders_by_job,
                [](const auto& entry) { return entry.second.empty(); });
  REQUIRE_FALSE(holders_by_job.empty());
  check();
}

TEST_CASE("a peer is recognized by its zone before it is registered") {
  const FleetView view = MakeView(315, 7);
  for (const std::string& peer : view.Peers()) {
    FleetView without = MakeView(315, 7);
    without.RemoveMember(peer);
    without.Refresh();
    CHECK(without.IsPeer(peer, view.members().at(peer).availability_zone));
  }
  CHECK_FALSE(view.IsPeer("stranger", "zone-of-another-fleet"));
}

}  // namespace knapweedstile::cluster
