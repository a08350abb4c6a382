#include <catch2/catch.hpp>

#include "serving/slot_scheduler.h"

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr uint32_t kSlots = 8;

struct OneServer {
  SlotScheduler board{{}, "zone-a", 7};
  BackendServerId server;
  TimePoint now = kNow;

  OneServer() {
    board.Upsert({.instance = "i-1",
                  .service = "llm",
                  .address = "i-1",
                  .availability_zone = "zone-a",
                  .slots = kSlots});
    server = board.Find("i-1");
  }
  // Items started until no more may be.
  uint32_t Fill() {
    uint32_t started = 0;
    while (board.PlaceBatch("llm", {}, now)) {
      board.OnRequestStarted(server, TrafficClass::kBatch);
      ++started;
    }
    return started;
  }
  void Online(int change) {
    for (int i = 0; i < change; ++i) {
      board.OnRequestStarted(server, TrafficClass::kOnline);
    }
    for (int i = change; i < 0; ++i) {
      board.OnRequestEnded(server, TrafficClass::kOnline);
    }
  }
  // Online demand that goes up and down for ten seconds.
  void RaiseAndLower(int by) {
    for (int step = 0; step < 100; ++step) {
      if (step % 10 == 0) Online(step % 20 == 0 ? by : -by);
      now += milliseconds(100);
      board.ObserveDemand(now);
    }
  }
};

decide::SharingPolicy Sharing(decide::SharingKind kind) {
  return {.name = "night", .revision = 4, .kind = kind};
}

}  // namespace

TEST_CASE("without a policy batch has what is free beyond the reserve") {
  OneServer fleet;
  CHECK(fleet.board.SharingPolicyName(fleet.server) == "default");
  CHECK(fleet.Fill() == kSlots - 1);
}

TEST_CASE("a static share bounds batch, and what is beyond it is taken back") {
  OneServer fleet;
  REQUIRE(fleet.Fill() == kSlots - 1);
  fleet.board.SetSharing(fleet.server,
                         Sharing(decide::SharingKind::kStaticShare));
  CHECK(fleet.board.SharingPolicyName(fleet.server) == "night");
  int taken_back = 0;
  while (!fleet.board.ServersOverBatchLimit().empty()) {
    fleet.board.OnRequestEnded(fleet.server, TrafficClass::kBatch);
    ++taken_back;
  }
  // A quarter of eight slots stays.
  CHECK(taken_back == 5);
  CHECK(fleet.Fill() == 0);
  fleet.board.SetSharing(fleet.server, std::nullopt);
  CHECK(fleet.Fill() == 5);
}

TEST_CASE("by priority alone batch has every free slot") {
  OneServer fleet;
  fleet.board.SetSharing(fleet.server,
                         Sharing(decide::SharingKind::kPriorityCancel));
  CHECK(fleet.Fill() == kSlots);
  CHECK(fleet.board.ServersOverBatchLimit().empty());
}

// Online requests come four at a time for a second and go. Without a reserve
// batch takes their slots in each pause, and each burst waits for four items to
// be cancelled.
TEST_CASE("a reserve by recent demand keeps the next burst's slots free") {
  OneServer fleet;
  fleet.board.SetSharing(fleet.server,
                         Sharing(decide::SharingKind::kArrivalReserve));
  fleet.RaiseAndLower(4);
  const uint32_t beside_bursts = fleet.Fill();
  CHECK(beside_bursts >= 1);
  CHECK(beside_bursts <= kSlots - 4);
}

// The room that a job may still start is what other entries count on, so a
// policy has to bound it like the placement.
TEST_CASE("the budget for starts follows the sharing") {
  OneServer fleet;
  const uint32_t before = fleet.board.BatchBudget("llm", 1, kNow);
  decide::SharingPolicy none = Sharing(decide::SharingKind::kStaticShare);
  none.batch_share_permille = 0;
  fleet.board.SetSharing(fleet.server, none);
  CHECK(before == 1 + (kSlots - 1) / 2);
  CHECK(fleet.board.BatchBudget("llm", 1, kNow) == 1);
  CHECK_FALSE(fleet.board.PlaceBatch("llm", {}, kNow));
}

TEST_CASE("servers that a policy keeps batch from get none") {
  OneServer fleet;
  CHECK_FALSE(fleet.board.PlaceBatch("llm", {&fleet.server, 1}, kNow));
}

}  // namespace knapweedstile::serving
