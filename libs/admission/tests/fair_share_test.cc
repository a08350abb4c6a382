#include "admission/fair_share.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <memory>

#include "base/rng.h"

namespace knapweedstile::admission {
namespace {

using Time = std::chrono::milliseconds;

constexpr ServiceHash kService = 3;
constexpr WorkspaceHash kHot = 1;
constexpr WorkspaceHash kCalm = 2;
constexpr SlotRoom kFull{.slots = 100, .free = 0};

TimePoint At(Time now) { return TimePoint{} + std::chrono::hours(1) + now; }

// Gateways that share a number of slots, each held for `kHeld`. Gateways report
// every 250 ms; a cut gateway neither sends nor receives reports.
class ShareModel {
 public:
  static constexpr size_t kGateways = 8;
  static constexpr uint32_t kSlots = 80;
  static constexpr Time kHeld{400};
  static constexpr Time kLength{14000};

  struct Outcome {
    uint32_t asked = 0;
    uint32_t served = 0;
  };

  bool uses_shares = true;
  size_t hot_gateways = kGateways;  // that the hot workspace reaches
  Time moves_to_one_at{1000000};
  Time restart_all_at{-1};
  Time counts_from = kLength / 2;
  size_t cut = kGateways;  // this gateway
  double hot_per_ms = 1;   // five times the slots
  double calm_per_ms = 0.05;
  std::map<WorkspaceHash, Outcome> outcomes;  // since counts_from

  void Run(uint64_t seed) {
    Rng rng(seed);
    gateways_ = std::vector<FairShare>(kGateways);
    for (Time now{0}; now < kLength; now += Time(1)) {
      if (now == restart_all_at) {
        gateways_ = std::vector<FairShare>(kGateways);
        running_.clear();
      }
      while (!running_.empty() && running_.front().ends_at <= now) {
        const Running& run = running_.front();
        gateways_[run.gateway].OnEnded(kService, run.workspace);
        running_.pop_front();
      }
      if (now % Time(250) == Time(0)) Report(now);
      const size_t reach = now >= moves_to_one_at ? 1 : hot_gateways;
      if (UniformUnit(rng) < hot_per_ms)
        Ask(kHot, UniformBelow(rng, reach), now);
      if (UniformUnit(rng) < calm_per_ms)
        Ask(kCalm, UniformBelow(rng, kGateways), now);
    }
  }
  double ServedOf(WorkspaceHash workspace) {
    const Outcome& outcome = outcomes[workspace];
    return outcome.served / std::max<double>(1, outcome.asked);
  }
  double UsedSlots() {
    const auto seconds = [](Time time) {
      return std::chrono::duration<double>(time).count();
    };
    const double served = outcomes[kHot].served + outcomes[kCalm].served;
    return served * seconds(kHeld) / seconds(kLength - counts_from) / kSlots;
  }

 private:
  struct Running {
    Time ends_at{0};
    size_t gateway = 0;
    WorkspaceHash workspace = 0;
  };

  void Report(Time now) {
    for (size_t from = 0; from < kGateways; ++from) {
      const auto report = gateways_[from].Report(At(now));
      for (size_t to = 0; to < kGateways; ++to) {
        if (to == from || to == cut || from == cut) continue;
        gateways_[to].SetPeerDemand(std::to_string(from), report, At(now));
      }
    }
    for (FairShare& gateway : gateways_) gateway.Expire(At(now));
  }
  void Ask(WorkspaceHash workspace, size_t at, Time now) {
    FairShare& gateway = gateways_[at];
    const bool counts = now >= counts_from;
    if (counts) ++outcomes[workspace].asked;
    const auto used = static_cast<uint32_t>(running_.size());
    const SlotRoom room{kSlots, kSlots - used};
    if (uses_shares && gateway.StandingOf(kService, workspace, room, At(now)) ==
                           Standing::kBeyondShare) {
      return;
    }
    if (running_.size() >= kSlots)
      return gateway.OnNoRoom(kService, workspace, At(now));
    gateway.OnStarted(kService, workspace);
    running_.push_back({now + kHeld, at, workspace});
    if (counts) ++outcomes[workspace].served;
  }

  std::vector<FairShare> gateways_;
  std::deque<Running> running_;
};

}  // namespace

// Guards against a workspace that takes all slots: the other one, which needs
// less than half of them, is served. Hot at all gateways, at one, moving to
// one; and from 2 s after a restart of all.
TEST_CASE("a workspace within its share is served beside a hot one") {
  for (const int variant : {0, 1, 2, 3}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(variant, seed);
      ShareModel model;
      if (variant == 1) model.hot_gateways = 1;
      if (variant == 2) model.moves_to_one_at = Time(6000);
      if (variant == 3) {
        model.restart_all_at = Time(6000);
        model.counts_from = Time(8000);
      }
      model.Run(seed);
      CHECK(model.ServedOf(kCalm) >= 0.85);
      CHECK(model.UsedSlots() >= 0.9);
      ShareModel without;
      without.uses_shares = false;
      without.Run(seed);
      CHECK(without.ServedOf(kCalm) <= 0.6);
    }
  }
}

// A gateway that is cut off does not know of the requests that lack room
// elsewhere, and uses the workspace's whole share. Guards against slots that
// stay free, and against a worse result than without shares.
TEST_CASE("a gateway that is cut off does no harm") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ShareModel model;
    model.cut = 7;
    model.Run(seed);
    ShareModel without;
    without.uses_shares = false;
    without.Run(seed);
    CHECK(model.ServedOf(kCalm) > without.ServedOf(kCalm));
    CHECK(model.UsedSlots() >= 0.9);
  }
}

// Guards against refusing anybody while there is room, and against reports that
// cost bytes for nothing.
TEST_CASE("without shortage nothing is refused and nothing is reported") {
  ShareModel model;
  model.hot_per_ms = 0.05;
  model.Run(1);
  CHECK(model.ServedOf(kHot) == 1);
  CHECK(model.ServedOf(kCalm) == 1);
  FairShare share;
  for (int i = 0; i < 100; ++i) share.OnStarted(kService, kHot);
  CHECK(share.StandingOf(kService, kHot, kFull, At(Time(0))) ==
        Standing::kWithinShare);
  CHECK(share.Report(At(Time(0))).empty());
}

// Guards against slots that stay free: a workspace beyond its share is refused
// only while another one lacks room.
TEST_CASE("a single workspace may use all slots") {
  FairShare share;
  for (int i = 0; i < 100; ++i) share.OnStarted(kService, kHot);
  share.OnStarted(kService, kCalm);
  share.OnNoRoom(kService, kHot, At(Time(0)));
  CHECK(share.StandingOf(kService, kHot, kFull, At(Time(1))) ==
        Standing::kWithinShare);
  share.OnNoRoom(kService, kCalm, At(Time(1)));
  CHECK(share.StandingOf(kService, kHot, kFull, At(Time(2))) ==
        Standing::kBeyondShare);
  CHECK(share.StandingOf(kService, kCalm, kFull, At(Time(2))) ==
        Standing::kWithinShare);
  CHECK(share.StandingOf(kService, kHot, {.slots = 100, .free = 10},
                         At(Time(2))) == Standing::kWithinShare);
  CHECK(share.StandingOf(kService, kHot, kFull, At(Time(4000))) ==
        Standing::kWithinShare);
}

TEST_CASE("shares follow the weights, and what one leaves is divided") {
  FairShare share;
  share.SetWeights({{kHot, 3}});
  for (int i = 0; i < 90; ++i) share.OnStarted(kService, kHot);
  for (int i = 0; i < 10; ++i) share.OnStarted(kService, 9);
  share.OnNoRoom(kService, kHot, At(Time(0)));
  share.OnNoRoom(kService, kCalm, At(Time(0)));
  CHECK(share.ShareOf(kService, kCalm, 100, At(Time(0))) == Approx(22.5));
  CHECK(share.ShareOf(kService, kHot, 100, At(Time(0))) == Approx(67.5));
}

// Guards against a report of each of thousands of workspaces, and against a
// workspace that is short of slots and not named.
TEST_CASE("a report names the heaviest workspaces and sums up the others") {
  FairShare share;
  for (WorkspaceHash workspace = 1; workspace <= 100; ++workspace) {
    for (WorkspaceHash i = 0; i < workspace; ++i)
      share.OnStarted(kService, workspace);
  }
  share.OnNoRoom(kService, 1, At(Time(0)));
  const auto report = share.Report(At(Time(0)));
  REQUIRE(report.size() == 33);
  CHECK(report.front().workspace == 1);
  CHECK(report.front().lacks_room);
  CHECK(report.back().workspace == kOtherWorkspaces);
  uint32_t in_use = 0;
  for (const WorkspaceDemand& demand : report) in_use += demand.in_use;
  CHECK(in_use == 5050);
}

// Guards against slots that are kept for the callers of a gateway that died.
TEST_CASE("reports of a peer expire") {
  FairShare share;
  for (int i = 0; i < 90; ++i) share.OnStarted(kService, kHot);
  share.SetPeerDemand("entry-2", {{kService, kCalm, 0, true}}, At(Time(0)));
  CHECK(share.StandingOf(kService, kHot, kFull, At(Time(100))) ==
        Standing::kBeyondShare);
  CHECK(share.StandingOf(kService, kHot, kFull, At(Time(4000))) ==
        Standing::kWithinShare);
}

}  // namespace knapweedstile::admission
