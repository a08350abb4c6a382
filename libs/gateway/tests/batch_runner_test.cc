#include "batch/batch_runner.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "base/clock.h"

namespace knapweedstile::gateway {
namespace {

using serving::ItemPhase;

serving::BatchJob MakeJob(TimePoint now) {
  serving::BatchJob job;
  job.id = "job-1";
  job.creator = "entry-1";
  job.host = "pets.example";
  job.route = "summaries";
  job.items.push_back({.id = "item-1", .target = "/summaries/1"});
  job.due_at = now + std::chrono::seconds(18);
  job.expires_at = now + std::chrono::seconds(60);
  return job;
}

serving::RouteTable OtherRoutes(uint64_t version) {
  serving::RouteTable routes;
  routes.version = version;
  routes.routes.push_back({.name = "other",
                           .host = "pets.example",
                           .path_prefix = "/other/",
                           .kind = serving::RouteKind::kBatch,
                           .services = {{.service = "llm"}}});
  return routes;
}

// A runner with one job and no backend servers.
struct Fixture {
  boost::asio::io_context io;
  serving::SlotScheduler scheduler{{}, "zone-a", 1};
  serving::CrashingParts crashing_parts;
  serving::JobTable jobs;
  serving::RouteTable routes;
  observe::Metrics metrics;
  observe::Timeline timeline{16};
  TimePoint now = MonotonicNow();
  bool holds_starts = false;
  ServerConnections connections{io, metrics};
  BatchRunner runner{connections,
                     scheduler,
                     crashing_parts,
                     jobs,
                     routes,
                     metrics,
                     timeline,
                     /*seed=*/1,
                     {.owns = [](const serving::BatchJob&) { return true; },
                      .gateway_count = [] { return size_t{1}; },
                      .runs_on_peer = [](uint64_t) { return false; },
                      .item_finished = [](const std::string&) {},
                      .usage_changed = [] {},
                      .holds_starts = [this] { return holds_starts; },
                      .excluded_servers =
                          [](const auto&, const auto&) {
                            return std::vector<BackendServerId>();
                          }}};

  Fixture() {
    metrics.DeclareCounter("knap_items_total", "", {"state", "policy"});
    metrics.DeclareCounter("knap_items_requeued_total", "", {"reason"});
    jobs.AddJob(MakeJob(now));
  }
  ItemPhase Phase() const { return jobs.Find("job-1")->progress[0].phase; }
};

}  // namespace

// Guards against items that fail permanently after all gateways were killed at
// once: a restarted gateway reads its jobs before its configuration and knows
// no routes until then.
TEST_CASE("an item stays waiting while no configuration is known") {
  Fixture fixture;
  fixture.runner.Run(fixture.now);
  fixture.runner.Run(fixture.now + std::chrono::seconds(30));
  CHECK(fixture.Phase() == ItemPhase::kWaiting);
}

// Guards against items that fail because this gateway's configuration is older
// than the one under which a peer accepted the job; the route is then missing
// only briefly.
TEST_CASE("an item without a route fails only after the route timeout") {
  Fixture fixture;
  fixture.routes = OtherRoutes(7);
  fixture.runner.Run(fixture.now);
  CHECK(fixture.Phase() == ItemPhase::kWaiting);
  for (int second = 1; second <= 6; ++second) {
    fixture.runner.Run(fixture.now + std::chrono::seconds(second));
  }
  CHECK(fixture.Phase() == ItemPhase::kFinished);
}

// Guards against items that are late because every gateway is short of
// processor time for long.
TEST_CASE("starts are held back until an item would be late") {
  Fixture fixture;
  fixture.holds_starts = true;
  fixture.routes = OtherRoutes(7);
  const auto was_started = [&fixture] {
    return fixture.jobs.Find("job-1")->progress[0].unrouted_since.has_value();
  };
  fixture.runner.Run(fixture.now);
  CHECK_FALSE(was_started());
  fixture.runner.Run(fixture.now + std::chrono::seconds(11));
  CHECK_FALSE(was_started());
  fixture.runner.Run(fixture.now + std::chrono::seconds(13));
  CHECK(was_started());
}

}  // namespace knapweedstile::gateway
