#include "batch/batch_runner.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <string>

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

serving::RouteTable JobRoutes() {
  serving::RouteTable routes = OtherRoutes(7);
  routes.routes.front().name = "summaries";
  routes.routes.front().path_prefix = "/summaries/";
  return routes;
}

// A server that ends each connection when a request has arrived on it.
class CrashingServer {
 public:
  explicit CrashingServer(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        connection_(io) {
    Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int requests() const noexcept { return requests_; }

 private:
  void Accept() {
    acceptor_.async_accept(connection_, [this](const auto& ec) {
      if (ec) return;
      connection_.async_read_some(
          boost::asio::buffer(buffer_), [this](const auto& error, size_t) {
            if (error == boost::asio::error::operation_aborted) return;
            ++requests_;
            connection_.close();
            Accept();
          });
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket connection_;
  std::array<char, 4096> buffer_{};
  int requests_ = 0;
};

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
  ServerConnections connections{io, 100, metrics};
  BatchRunner runner{connections,
                     scheduler,
                     crashing_parts,
                     jobs,
                     routes,
                     metrics,
                     timeline,
                     /*seed=*/1,
                     {.owns = [](const serving::BatchJob&) { return true; },
                      .has_configuration_of =
                          [this](const serving::BatchJob& job) {
                            return job.configuration <= routes.version;
                          },
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

// Guards against an item that runs by a configuration that was replaced before
// its job was accepted, at a gateway that was suspended or cut off meanwhile.
TEST_CASE("an item waits for the configuration that its job was accepted by") {
  Fixture fixture;
  fixture.routes = OtherRoutes(7);
  serving::BatchJob job = MakeJob(fixture.now);
  job.id = "job-2";
  job.configuration = 9;
  fixture.jobs.AddJob(std::move(job));
  const auto was_started = [&fixture](const std::string& id) {
    return fixture.jobs.Find(id)->progress[0].unrouted_since.has_value();
  };
  fixture.runner.Run(fixture.now);
  CHECK(was_started("job-1"));
  CHECK_FALSE(was_started("job-2"));
  fixture.routes = OtherRoutes(9);
  fixture.runner.Run(fixture.now);
  CHECK(was_started("job-2"));
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

// Guards against items that are given up for two short times without a route,
// between which no server had a slot for them.
TEST_CASE("the route timeout begins anew when the route was there") {
  Fixture fixture;
  fixture.routes = OtherRoutes(7);
  fixture.runner.Run(fixture.now);
  fixture.routes = JobRoutes();
  fixture.runner.Run(fixture.now + std::chrono::seconds(1));
  fixture.routes = OtherRoutes(8);
  fixture.runner.Run(fixture.now + std::chrono::seconds(5));
  CHECK(fixture.Phase() == ItemPhase::kWaiting);
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

// Guards against an item that is left lying after all is calm because servers
// crashed by chance while they ran it, and against a pause so short that a
// fleet that is down gets the item again and again.
TEST_CASE("an item under which servers crashed runs again within seconds") {
  constexpr std::chrono::seconds kMaxPause{4};
  constexpr std::chrono::seconds kMinLaterPause{1};
  Fixture fixture;
  fixture.routes = JobRoutes();
  CrashingServer server(fixture.io);
  TimePoint now = fixture.now;
  for (int crash = 1; crash <= 8; ++crash) {
    CAPTURE(crash);
    fixture.scheduler.Upsert({.instance = "i-" + std::to_string(crash),
                              .service = "llm",
                              .address = server.Address(),
                              .availability_zone = "zone-a",
                              .slots = 4});
    fixture.runner.Run(now);
    REQUIRE(fixture.Phase() == ItemPhase::kRunning);
    const TimePoint until = MonotonicNow() + std::chrono::seconds(2);
    while (fixture.Phase() == ItemPhase::kRunning && MonotonicNow() < until)
      fixture.io.run_one_for(std::chrono::milliseconds(50));
    REQUIRE(fixture.Phase() == ItemPhase::kWaiting);
    REQUIRE(server.requests() == crash);
    const auto& progress = fixture.jobs.Find("job-1")->progress[0];
    const Duration pause = progress.not_before - MonotonicNow();
    CHECK(pause <= kMaxPause);
    if (crash > 3) CHECK(pause >= kMinLaterPause);
    now = progress.not_before;
  }
}

// Guards against an item, accepted by a gateway of an earlier version, that is
// tried without end and counts as a failure of each server in turn.
TEST_CASE("an item that can't be sent fails and accuses no server") {
  Fixture fixture;
  fixture.routes = JobRoutes();
  fixture.jobs.Find("job-1")->items[0].target = "/summaries/1\r\nX: y";
  CrashingServer server(fixture.io);
  fixture.scheduler.Upsert({.instance = "i-1",
                            .service = "llm",
                            .address = server.Address(),
                            .availability_zone = "zone-a",
                            .slots = 4});
  fixture.runner.Run(fixture.now);
  REQUIRE(fixture.Phase() == ItemPhase::kRunning);
  fixture.io.run_for(std::chrono::milliseconds(50));
  CHECK(fixture.Phase() == ItemPhase::kFinished);
  CHECK(server.requests() == 0);
  CHECK(fixture.scheduler.PlaceBatch("llm", {}, MonotonicNow(), kNever));
}

}  // namespace knapweedstile::gateway
