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

// A runner with one job, without backend servers.
struct Fixture {
  boost::asio::io_context io;
  serving::SlotScheduler board{{}, "zone-a", 1};
  serving::JobTable book;
  serving::RouteTable routes;
  observe::Metrics metrics;
  observe::Timeline timeline{16};
  TimePoint now = MonotonicNow();
  ServerConnections connections{io};
  BatchRunner runner{connections,
                     board,
                     book,
                     routes,
                     metrics,
                     timeline,
                     {.owns = [](const serving::BatchJob&) { return true; },
                      .gateway_count = [] { return size_t{1}; },
                      .runs_on_peer = [](uint64_t) { return false; },
                      .item_finished = [](const std::string&) {},
                      .usage_changed = [] {},
                      .excluded_servers =
                          [](const auto&, const auto&) {
                            return std::vector<BackendServerId>();
                          }}};

  Fixture() {
    metrics.DeclareCounter("knap_items_total", "", {"state", "policy"});
    metrics.DeclareCounter("knap_items_requeued_total", "", {"reason"});
    book.AddJob(MakeJob(now));
  }
  ItemPhase Phase() const { return book.Find("job-1")->progress[0].phase; }
};

}  // namespace

// All entries are killed at once. One comes back and reads its jobs before its
// configuration, so that it knows no route at all. Callers then saw every item
// of the job listed as failed, though it could have run a moment later.
TEST_CASE("an item is kept while no configuration is known") {
  Fixture fixture;
  fixture.runner.Run(fixture.now);
  fixture.runner.Run(fixture.now + std::chrono::seconds(30));
  CHECK(fixture.Phase() == ItemPhase::kWaiting);
}

// An entry's configuration may be older than the one under which a job was
// accepted elsewhere: its route is missing only for a moment.
TEST_CASE("an item without a route is given up only after a while") {
  Fixture fixture;
  fixture.routes = OtherRoutes(7);
  fixture.runner.Run(fixture.now);
  CHECK(fixture.Phase() == ItemPhase::kWaiting);
  for (int second = 1; second <= 6; ++second) {
    fixture.runner.Run(fixture.now + std::chrono::seconds(second));
  }
  CHECK(fixture.Phase() == ItemPhase::kFinished);
}

}  // namespace knapweedstile::gateway
