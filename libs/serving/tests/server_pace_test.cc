#include "serving/server_pace.h"

#include <catch2/catch.hpp>

#include "fleet_model.h"

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 8;
constexpr milliseconds kStep{10};
constexpr milliseconds kEvent{30};

ServerProcessId Id(int server) { return ServerProcessId(server + 1); }

// Servers of one service, and one gateway's estimates of them.
struct Fleet {
  ServerPace pace;
  TimePoint now = TimePoint{} + std::chrono::hours(1);

  explicit Fleet(int servers = kServers) {
    for (int s = 0; s < servers; ++s) pace.Add(Id(s), "llm");
  }
  void Pass(Duration time) {
    const TimePoint end = now + time;
    while (now < end) {
      now += kStep;
      pace.Update(now);
    }
  }
  void Event(int server, double slowness) {
    pace.Observe(Id(server),
                 {.time = FromSeconds(ToSeconds(kEvent) * slowness)});
  }
  // Events of a few streams at each server; `slowness` gives the factor.
  template <typename Slowness>
  void Stream(Duration time, Slowness slowness) {
    const TimePoint end = now + time;
    while (now < end) {
      for (int s = 0; s < kServers; ++s) Event(s, slowness(s));
      Pass(kStep);
    }
  }
  double Weight(int server) const {
    return pace.WeightOf(Id(server), 0, PreferredPace::kFast);
  }
  void Attempt(int server, bool fails) {
    if (fails) return pace.OnFailed(Id(server), now);
    pace.OnServed(Id(server), now);
  }
};

std::vector<ServerObservation> Report(int server, double slowness,
                                      uint32_t attempts, uint32_t failures) {
  return {{.process = Id(server),
           .slowness = slowness,
           .attempts = attempts,
           .failures = failures}};
}

FleetModel::Outcome RunModel(FleetModel::Settings settings, bool learns) {
  settings.learns_pace = learns;
  return FleetModel(settings).Run();
}

}  // namespace

// Servers of speeds 0.55, 1 and 1.2.
TEST_CASE("a slow server counts for less and a fast one for more") {
  Fleet fleet;
  fleet.Stream(seconds(3), [](int s) {
    if (s == 0) return 1 / 0.55;
    return s == 1 ? 1 / 1.2 : 1.0;
  });
  CHECK(fleet.pace.SlownessOf(Id(0)) == Approx(1 / 0.55).epsilon(0.1));
  CHECK(fleet.Weight(0) < 0.5);
  CHECK(fleet.Weight(1) > 1.2);
  CHECK(fleet.Weight(2) == 1);
  CHECK(fleet.pace.WeightOf(Id(0), 0, PreferredPace::kSlow) > 1.5);
}

// Guards against choices that change although no server differs.
TEST_CASE("servers that are equal have a weight of exactly one") {
  Fleet fleet;
  Rng rng(5);
  fleet.Stream(seconds(10), [&](int) { return 0.5 + UniformUnit(rng); });
  CHECK_FALSE(fleet.pace.differs());
  for (int s = 0; s < kServers; ++s) CHECK(fleet.Weight(s) == 1);
  CHECK(fleet.pace.TakeObservations(fleet.now).empty());
}

// One server is 2.5 times slower for 600 ms.
TEST_CASE("a slow stretch lowers the weight until it is over") {
  Fleet fleet;
  fleet.Stream(seconds(3), [](int) { return 1.0; });
  fleet.Stream(milliseconds(300), [](int s) { return s == 3 ? 2.5 : 1.0; });
  CHECK(fleet.Weight(3) < 0.5);
  CHECK(fleet.Weight(2) == 1);
  fleet.Stream(milliseconds(600), [](int) { return 1.0; });
  CHECK(fleet.Weight(3) == 1);
}

// Guards against a gateway that stands still and takes every server for slow.
TEST_CASE("when all are slow at once no weight changes") {
  Fleet fleet;
  fleet.Stream(seconds(3), [](int) { return 1.0; });
  fleet.Stream(milliseconds(600), [](int) { return 4.0; });
  CHECK_FALSE(fleet.pace.differs());
}

TEST_CASE("one outlier or one failure changes nothing") {
  Fleet fleet;
  fleet.Stream(seconds(3), [](int) { return 1.0; });
  fleet.Event(0, 200);
  fleet.Attempt(1, true);
  fleet.Pass(milliseconds(200));
  CHECK_FALSE(fleet.pace.differs());
}

// Guards against a server that stalls or breaks everything while its health
// check is good: three attempts show it, and its return is gradual.
TEST_CASE("a server that fails in series is avoided and returns on probation") {
  Fleet fleet;
  for (int i = 0; i < 3; ++i) fleet.Attempt(0, true);
  CHECK(fleet.pace.StandingOf(Id(0)) == ServerStanding::kAvoided);
  CHECK(fleet.Weight(0) == 0);
  fleet.Pass(milliseconds(700));
  REQUIRE(fleet.pace.StandingOf(Id(0)) == ServerStanding::kOnProbation);
  CHECK(fleet.Weight(0) > 0);
  CHECK(fleet.pace.WeightOf(Id(0), 1, PreferredPace::kFast) == 0);
  fleet.Attempt(0, true);
  fleet.Pass(milliseconds(700));
  // The second time is twice as long.
  CHECK(fleet.pace.StandingOf(Id(0)) == ServerStanding::kAvoided);
  fleet.Pass(milliseconds(500));
  for (int i = 0; i < 6; ++i) fleet.Attempt(0, false);
  CHECK(fleet.pace.StandingOf(Id(0)) == ServerStanding::kTrusted);
  CHECK(fleet.pace.TakeChanges().size() == 5);
}

// Down and up by turns, 1.3 s each: connections fail while it is down.
TEST_CASE("a flapping server is avoided for most of the time") {
  Fleet fleet;
  int attempts = 0;
  int failures = 0;
  for (int step = 0; step < 4000; ++step) {
    const bool down = (step / 130) % 2 == 0;
    if (step % 5 == 0 && fleet.Weight(0) > 0) {
      ++attempts;
      if (down) ++failures;
      fleet.Attempt(0, down);
    }
    if (step % 5 == 0) fleet.Attempt(1, false);
    fleet.Pass(kStep);
  }
  CAPTURE(attempts, failures);
  CHECK(failures < 40);  // of 800 attempts, half of them while it is down
}

// Guards against a service without servers because all of them fail, as after
// the loss of what they depend on.
TEST_CASE("at most a quarter is avoided, and none when most fail") {
  Fleet fleet;
  for (int s = 0; s < 3; ++s) {
    for (int i = 0; i < 3; ++i) fleet.Attempt(s, true);
  }
  CHECK(fleet.pace.CountAvoided() == kServers / 4);
  for (int s = 3; s < kServers; ++s) {
    for (int i = 0; i < 3; ++i) fleet.Attempt(s, true);
  }
  fleet.Pass(milliseconds(200));
  CHECK(fleet.pace.CountAvoided() == 0);
  for (int s = 0; s < kServers; ++s) CHECK(fleet.Weight(s) > 0);
}

// Guards against a gateway whose network path to a server is broken and that
// makes all others avoid the server.
TEST_CASE("the wrong view of one gateway decides nothing") {
  Fleet fleet;
  fleet.Stream(seconds(2), [](int) { return 1.0; });
  for (int i = 0; i < 20; ++i) fleet.Attempt(0, false);
  fleet.pace.SetPeerObservations("a", Report(0, 4.0, 50, 50), fleet.now);
  fleet.pace.SetPeerObservations("b", Report(0, 1.0, 20, 0), fleet.now);
  fleet.Pass(milliseconds(200));
  CHECK_FALSE(fleet.pace.differs());
  // This gateway's view is asked for, since it contradicts the other one.
  CHECK(fleet.pace.TakeObservations(fleet.now).size() == 1);
}

// A server fails four of ten requests; each of twenty gateways has sent it one
// or none. Two failures in all are taken as chance.
TEST_CASE("many gateways find together what none of them can see alone") {
  Fleet fleet;
  const auto report = [&](int gateways, int failing) {
    for (int g = 0; g < gateways; ++g) {
      fleet.pace.SetPeerObservations("gateway-" + std::to_string(g),
                                     Report(0, 0, 1, g < failing ? 1 : 0),
                                     fleet.now);
    }
    fleet.Pass(milliseconds(200));
  };
  report(4, 2);
  CHECK(fleet.pace.StandingOf(Id(0)) == ServerStanding::kTrusted);
  report(12, 5);
  CHECK(fleet.pace.StandingOf(Id(0)) == ServerStanding::kAvoided);
}

// Guards against peers' views that stay in force after their reports are lost.
TEST_CASE("what peers observe is used and expires") {
  Fleet fleet;
  fleet.pace.SetPeerObservations("a", Report(0, 2.0, 30, 9), fleet.now);
  fleet.pace.SetPeerObservations("b", Report(0, 1.8, 30, 9), fleet.now);
  fleet.Pass(milliseconds(200));
  CHECK(fleet.pace.StandingOf(Id(0)) == ServerStanding::kAvoided);
  CHECK(fleet.pace.SlownessOf(Id(0)) == Approx(1.8));
  fleet.Pass(seconds(9));
  CHECK(fleet.pace.SlownessOf(Id(0)) == 1);
  for (int i = 0; i < 6; ++i) fleet.Attempt(0, false);
  fleet.Pass(milliseconds(200));
  CHECK_FALSE(fleet.pace.differs());
}

// Guards against a restarted server that is blamed for its previous process.
TEST_CASE("a new process has no past") {
  SlotScheduler scheduler({}, "zone-a", 7);
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  ServerRecord record{.instance = "i-0", .start = 1, .service = "llm"};
  for (int s = 0; s < 4; ++s) {
    record.instance = "i-" + std::to_string(s);
    scheduler.Upsert(record);
  }
  const BackendServerId previous = scheduler.Find("i-3");
  for (int i = 0; i < 3; ++i) scheduler.OnAttemptFailed(previous, now);
  CHECK(scheduler.pace().CountAvoided() == 1);
  record.start = 2;
  scheduler.Upsert(record);
  CHECK(scheduler.pace().CountAvoided() == 0);
  CHECK(scheduler.pace().WeightOf(scheduler.Process(scheduler.Find("i-3")), 0,
                                  PreferredPace::kFast) == 1);
}

// Batch items may use slow servers only while they are still on time there.
TEST_CASE("an item goes to a slow server only if it has time") {
  SlotScheduler scheduler({}, "zone-a", 7);
  const TimePoint start = TimePoint{} + std::chrono::hours(1);
  TimePoint now = start;
  for (int s = 0; s < 4; ++s) {
    scheduler.Upsert(
        {.instance = "i-" + std::to_string(s), .service = "llm", .slots = 8});
  }
  const BackendServerId slow = scheduler.Find("i-0");
  for (; now < start + seconds(2); now += kStep) {
    for (const BackendServerId id : scheduler.Servers()) {
      scheduler.ObservePace(id, {.time = id == slow ? 2 * kEvent : kEvent});
    }
    scheduler.pace().Update(now);
  }
  const auto count_slow = [&](TimePoint due_at) {
    int count = 0;
    for (int i = 0; i < 400; ++i)
      count += scheduler.PlaceBatch("llm", {}, now, due_at) == slow ? 1 : 0;
    return count;
  };
  CHECK(count_slow(now + seconds(60)) > 115);  // 100 without preference
  CHECK(count_slow(now + seconds(10)) < 60);
}

// A third of the servers at speeds 0.55, 1 and 1.2 each, at a third to two
// thirds of the capacity, through eight gateways.
TEST_CASE("online requests end sooner on servers of uneven speeds") {
  FleetModel::Settings settings;
  settings.batch = false;
  settings.slowness = {1 / 0.55, 1, 1 / 1.2};
  settings.run_seconds = 60;
  settings.valley_rate = 50;
  settings.peak_rate = 110;
  const auto today = RunModel(settings, false);
  const auto paced = RunModel(settings, true);
  CAPTURE(today.mean_response, paced.mean_response, today.late, paced.late);
  CHECK(paced.mean_response < 0.96 * today.mean_response);
  CHECK(paced.late <= today.late + today.online / 100);
}

// Two of sixteen servers fail three of ten requests at once, which frees their
// slots and attracts more requests.
TEST_CASE("a server that fails requests loses most of them") {
  FleetModel::Settings settings;
  settings.batch = false;
  settings.valley_rate = 60;
  settings.peak_rate = 110;
  settings.run_seconds = 60;
  settings.failing_servers = 2;
  const auto today = RunModel(settings, false);
  const auto paced = RunModel(settings, true);
  CAPTURE(today.online, today.failed, paced.failed);
  CHECK(paced.failed * 3 < today.failed);
}

// Guards against other choices than before where servers are equal: pace is
// observed, and every request ends up where it did without it.
TEST_CASE("equal servers are chosen exactly as without observations") {
  FleetModel::Settings settings;
  const auto today = RunModel(settings, false);
  const auto paced = RunModel(settings, true);
  CHECK(paced.online == today.online);
  CHECK(paced.late == today.late);
  CHECK(paced.mean_wait == today.mean_wait);
  CHECK(paced.batch_slot_seconds == today.batch_slot_seconds);
}

}  // namespace knapweedstile::serving
