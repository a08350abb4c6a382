// Compares ways to enforce a workspace's request rate across all gateways, on
// the same requests. Columns: most requests admitted beyond the limit and
// its allowed overage (positive: limit violated); the share withheld of
// the requests that a single limiter with full knowledge would have admitted;
// message bytes per second and gateway; wall-clock seconds per simulated run.
#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "other_quotas.h"
#include "rate_model.h"

namespace knapweedstile::workspaces {
namespace {

using Time = std::chrono::milliseconds;
constexpr int kSeeds = 5;

struct Scenario {
  std::string name;
  double reach = 1;         // share of the gateways that receive the requests
  double hot_factor = 7.5;  // request rate, in multiples of the usual
  std::vector<Time> partition;  // start and end; empty: none
  std::vector<Time> kill;       // time and downtime; empty: none
};

template <typename Quota>
void RunScenario(const std::string& strategy, const Scenario& scenario) {
  double max_over = -1e9;
  double max_withheld = -1;
  uint64_t bytes = 0;
  RateModel<Quota> model;
  if (!scenario.partition.empty()) {
    model.cuts.push_back(
        {scenario.partition[0], scenario.partition[1], 11, false});
  }
  if (!scenario.kill.empty()) {
    model.kills.push_back({scenario.kill[0], scenario.kill[1], 0, 23, Time(0)});
  }
  const auto begin = std::chrono::steady_clock::now();
  for (int seed = 1; seed <= kSeeds; ++seed) {
    typename RateModel<Quota>::Load load;
    load.reach = scenario.reach;
    load.hot_times = scenario.hot_factor;
    load.hot_from = Time(4000);
    load.hot_until = Time(16000);
    load.seed = static_cast<uint64_t>(seed);
    const auto result = model.Run(load);
    max_over = std::max(max_over, result.most_over);
    max_withheld =
        std::max(max_withheld, 1 - static_cast<double>(result.admitted) /
                                       static_cast<double>(result.ideal));
    bytes = result.message_bytes / (23 * 30);
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  fmt::print("{:24} {:8} {:8.1f} {:9.1f}% {:8} {:8.2f}\n", scenario.name,
             strategy, max_over, 100 * max_withheld, bytes, seconds / kSeeds);
}

}  // namespace
}  // namespace knapweedstile::workspaces

int main() {
  using knapweedstile::workspaces::GossipQuota;
  using knapweedstile::workspaces::LeaseQuota;
  using knapweedstile::workspaces::RateQuota;
  using knapweedstile::workspaces::RunScenario;
  using knapweedstile::workspaces::Scenario;
  using std::chrono::milliseconds;
  fmt::print("{:24} {:8} {:>8} {:>10} {:>8} {:>8}\n", "23 gateways, 64 req/s",
             "strategy", "over", "withheld", "B/s each", "s a run");
  const std::vector<Scenario> scenarios = {
      {.name = "usual", .hot_factor = 1},
      {.name = "hot at all gateways"},
      {.name = "hot at half of them", .reach = 0.5},
      {.name = "hot at one", .reach = 0.01},
      {.name = "hot, split at start",
       .partition = {milliseconds(4000), milliseconds(13000)}},
      {.name = "hot, split later",
       .partition = {milliseconds(7000), milliseconds(16000)}},
      {.name = "hot, all killed for 0.1 s",
       .kill = {milliseconds(9000), milliseconds(100)}},
      {.name = "hot, all killed for 1 s",
       .kill = {milliseconds(9000), milliseconds(1000)}}};
  for (const Scenario& scenario : scenarios) {
    RunScenario<GossipQuota>("counts", scenario);
    RunScenario<LeaseQuota>("leases", scenario);
    RunScenario<RateQuota>("shares", scenario);
  }
}
