#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/rng.h"
#include "harness/proxy.h"
#include "harness/seed_range.h"
#include "peers/reader_choice.h"
#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

using std::chrono::milliseconds;

// The shortest time on any deployment within which a gateway must use a
// configuration that the store has acknowledged.
constexpr milliseconds kTimeToApply{2000};
// The same on deployments of tens of gateways.
constexpr milliseconds kTimeToApplyInLargeFleet{3000};
constexpr int kHeartbeatMs = 1200;
constexpr harness::Fault kSilent{.mode = harness::FaultMode::kFreeze};
constexpr harness::Fault kNone{};

// Gateways whose ways to the store can each be made silent.
struct Fleet {
  Site site;
  ModelServer& llm;
  ModelServer& next;
  std::map<std::string, std::unique_ptr<harness::Proxy>> ways;
  std::vector<std::string> gateways;
  int servers = 0;

  explicit Fleet(int count)
      : llm(site.AddServer("llm", "i-llm", 100)),
        next(site.AddServer(kSecondService, "i-next", 100)) {
    site.heartbeat_ms = kHeartbeatMs;
    site.interpose = [this](const std::string& who,
                            const std::string& address) {
      if (!who.starts_with("store/")) return address;
      auto& way = ways[who.substr(who.find('/') + 1)];
      way = std::make_unique<harness::Proxy>(site.caller().io(), "127.0.0.1:0",
                                             address);
      return "127.0.0.1:" + std::to_string(way->port());
    };
    site.Configure(2);
    for (int i = 1; i <= count; ++i) {
      gateways.push_back("entry-" + std::to_string(i));
      site.StartGateway(gateways.back());
    }
    REQUIRE(site.caller().RunUntil([this] { return CountReaders() == 2; }));
  }

  bool Shows(const std::string& gateway, const std::string& metric) {
    return site.Metrics(gateway).find("\n" + metric + "\n") !=
           std::string::npos;
  }
  std::vector<std::string> Readers() {
    std::vector<std::string> readers;
    for (const std::string& gateway : gateways) {
      if (Shows(gateway, "knap_store_reader 1")) readers.push_back(gateway);
    }
    return readers;
  }
  // Readers, if every gateway knows all others.
  size_t CountReaders() {
    const bool complete =
        std::all_of(gateways.begin(), gateways.end(), [this](const auto& name) {
          return Shows(name, "knap_fleet_members " +
                                 std::to_string(gateways.size())) &&
                 Shows(name, "knap_configuration_version 2");
        });
    return complete ? Readers().size() : 0;
  }
  // A changed server ends the readers' watches, which then begin together.
  void RenewWatches() {
    site.AddServer("llm", "i-more-" + std::to_string(++servers));
    site.caller().RunFor(milliseconds(500));
  }
  void Silence(const std::vector<std::string>& names) {
    for (const std::string& name : names) ways.at(name)->Inject(kSilent);
  }
  // Gateways that do not use the version.
  std::vector<std::string> WithoutVersion(int version) {
    std::vector<std::string> behind;
    const std::string metric =
        "knap_configuration_version " + std::to_string(version);
    for (const std::string& gateway : gateways) {
      if (!Shows(gateway, metric)) behind.push_back(gateway);
    }
    return behind;
  }
  // Checks that all gateways but `excepted` use the version.
  void CheckVersion(int version, const std::string& excepted = {}) {
    std::vector<std::string> behind = WithoutVersion(version);
    std::erase(behind, excepted);
    CAPTURE(behind);
    CHECK(behind.empty());
  }
};

using Names = std::vector<std::string>;

// Rounds of changes in series, while random gateways get no response from the
// store, others restart or stand still. Each gateway that is not disturbed
// itself, silent ones included, uses the last version in time.
void Soak(uint64_t seed) {
  constexpr int kGateways = 12;
  constexpr int kRounds = 5;
  CAPTURE(seed);
  Rng rng(seed);
  const auto random_time = [&rng](uint64_t limit_ms) {
    return milliseconds(UniformBelow(rng, limit_ms));
  };
  Fleet fleet(kGateways);
  auto& caller = fleet.site.caller();
  int version = 2;
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    // The order decides which roles the faults strike.
    Names order = fleet.gateways;
    for (size_t i = order.size(); i > 1; --i)
      std::swap(order[i - 1], order[UniformBelow(rng, i)]);
    // The last one stays sound; the one before it restarts or stands still.
    const std::string disturbed = order[order.size() - 2];
    const bool restarts = UniformBelow(rng, 2) == 0;
    order.resize(1 + UniformBelow(rng, order.size() - 2));
    fleet.Silence(order);
    caller.RunFor(random_time(2000));
    if (restarts) {
      fleet.site.process(disturbed).Kill();
      fleet.site.RestartGateway(disturbed);
    } else {
      fleet.site.process(disturbed).Pause();
    }
    const uint64_t changes = 1 + UniformBelow(rng, 4);
    for (uint64_t change = 0; change < changes; ++change) {
      caller.RunFor(random_time(400));
      fleet.site.Configure(++version);
    }
    caller.RunFor(kTimeToApply);
    if (!restarts) fleet.site.process(disturbed).Resume();
    fleet.CheckVersion(version, disturbed);
    for (const auto& [gateway, way] : fleet.ways) way->Inject(kNone);
    caller.RunFor(random_time(1500));
  }
  CHECK(caller.RunUntil([&] { return fleet.WithoutVersion(version).empty(); }));
}

}  // namespace

// Guards against a fleet that keeps an old configuration while both of its
// readers get no response from the store and have not found that out.
TEST_CASE("a configuration is used in time while all readers are silent") {
  Fleet fleet(6);
  fleet.RenewWatches();
  fleet.Silence(fleet.Readers());
  fleet.site.Configure(9);
  fleet.site.caller().RunFor(kTimeToApply);
  fleet.CheckVersion(9);
}

// Guards against replacing silent readers by other gateways that are silent as
// well, one pair after the other.
TEST_CASE("a configuration is used in time while most gateways are silent") {
  Fleet fleet(12);
  Names silent = gateway::ChooseReaders(
      fleet.gateways, 8, [](const std::string& /*gateway*/) { return 1.0; });
  fleet.RenewWatches();
  fleet.Silence(silent);
  fleet.site.Configure(9);
  fleet.site.caller().RunFor(kTimeToApplyInLargeFleet);
  fleet.CheckVersion(9);
}

// Guards against a gateway without the store that asks only one peer for the
// configuration, which has no store either and does not know it.
TEST_CASE("a gateway without the store gets the configuration from any peer") {
  Fleet fleet(4);
  const Names readers = fleet.Readers();
  Names others;
  for (const std::string& name : fleet.gateways) {
    if (std::find(readers.begin(), readers.end(), name) == readers.end())
      others.push_back(name);
  }
  // One gateway reaches the store.
  fleet.Silence({others.front(), readers.front(), readers.back()});
  fleet.site.caller().RunFor(milliseconds(6500));
  fleet.site.Configure(9);
  fleet.site.caller().RunFor(kTimeToApply);
  fleet.CheckVersion(9);
}

// Guards against a gateway that was suspended, accepts a job as it resumes, and
// runs its items by a configuration that was replaced meanwhile.
TEST_CASE("a gateway that resumes runs no new job by an old configuration") {
  Fleet fleet(4);
  const Names readers = fleet.Readers();
  const std::string suspended = *std::find_if(
      fleet.gateways.begin(), fleet.gateways.end(), [&](const auto& name) {
        return std::find(readers.begin(), readers.end(), name) == readers.end();
      });
  for (int round = 0; round < 3; ++round) {
    const bool to_next = round % 2 == 0;
    const std::string service = to_next ? kSecondService : "llm";
    fleet.site.process(suspended).Pause();
    fleet.site.caller().RunFor(milliseconds(2000));
    fleet.site.Configure(9 + round, {{"service", service}});
    fleet.site.caller().RunFor(milliseconds(3500));
    const std::string job = "job-" + std::to_string(round);
    const ExchangeId exchange =
        fleet.site.caller().Begin(fleet.site.JobRequest(suspended, job, 8));
    fleet.site.caller().RunFor(milliseconds(100));
    fleet.site.process(suspended).Resume();
    REQUIRE(fleet.site.caller().RunUntilEnd(exchange));
    http::EndEvent end = *fleet.site.caller().answer(exchange).end;
    // As callers do, sends the request again if it was not read: the gateway
    // may close a connection that was idle for long.
    if (end.outcome == http::ClientOutcome::kLost)
      end = fleet.site.Call(fleet.site.JobRequest(suspended, job, 8));
    CAPTURE(round, NameOf(end.outcome), end.message);
    REQUIRE(end.status == 202);
    fleet.site.WaitForResults(fleet.gateways.front(), job, 8);
    const ModelServer& old = to_next ? fleet.llm : fleet.next;
    const auto by_old = std::count_if(
        old.runs().begin(), old.runs().end(),
        [&](const auto& run) { return run.request_id.starts_with(job + "-"); });
    CHECK(by_old == 0);
  }
}

// Guards against what no case above provokes by itself. KNAP_DELIVERY_SEEDS, as
// FIRST..LAST, runs other seeds.
TEST_CASE("configurations are used in time whatever gateways are silent",
          "[soak]") {
  const auto seeds = harness::SeedsFrom("KNAP_DELIVERY_SEEDS", {1, 2});
  for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) Soak(seed);
}

}  // namespace knapweedstile::users_site
