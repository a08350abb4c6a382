// Ways to keep a workspace's rate over all entries, on the same requests: what
// was admitted beyond the limit and the overage that is borne (above zero: the
// limit was broken), what was withheld of that which one judge who knows all
// would have admitted, messages and their bytes, and the time of a judgement.
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

struct Scene {
  std::string name;
  double reach = 1;
  double hot_times = 7.5;
  std::vector<Time> cut;   // from, until
  std::vector<Time> kill;  // at, down
};

template <typename Quota>
void Play(const std::string& way, const Scene& scene) {
  double over = -1e9;
  double withheld = -1;
  uint64_t bytes = 0;
  RateModel<Quota> model;
  if (!scene.cut.empty()) {
    model.cuts.push_back({scene.cut[0], scene.cut[1], 11, false});
  }
  if (!scene.kill.empty()) {
    model.kills.push_back({scene.kill[0], scene.kill[1], 0, 23, Time(0)});
  }
  const auto begin = std::chrono::steady_clock::now();
  for (int seed = 1; seed <= kSeeds; ++seed) {
    typename RateModel<Quota>::Load load;
    load.reach = scene.reach;
    load.hot_times = scene.hot_times;
    load.hot_from = Time(4000);
    load.hot_until = Time(16000);
    load.seed = static_cast<uint64_t>(seed);
    const auto result = model.Run(load);
    over = std::max(over, result.most_over);
    withheld = std::max(withheld, 1 - static_cast<double>(result.admitted) /
                                          static_cast<double>(result.ideal));
    bytes = result.message_bytes / (23 * 30);
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  fmt::print("{:24} {:8} {:8.1f} {:9.1f}% {:8} {:8.2f}\n", scene.name, way,
             over, 100 * withheld, bytes, seconds / kSeeds);
}

}  // namespace
}  // namespace knapweedstile::workspaces

int main() {
  using knapweedstile::workspaces::GossipQuota;
  using knapweedstile::workspaces::LeaseQuota;
  using knapweedstile::workspaces::Play;
  using knapweedstile::workspaces::RateQuota;
  using knapweedstile::workspaces::Scene;
  using std::chrono::milliseconds;
  fmt::print("{:24} {:8} {:>8} {:>10} {:>8} {:>8}\n", "23 entries, 64 a second",
             "way", "over", "withheld", "B/s each", "s a run");
  const std::vector<Scene> scenes = {
      {.name = "usual", .hot_times = 1},
      {.name = "hot at all entries"},
      {.name = "hot at half of them", .reach = 0.5},
      {.name = "hot at one", .reach = 0.01},
      {.name = "hot, halves cut at start",
       .cut = {milliseconds(4000), milliseconds(13000)}},
      {.name = "hot, halves cut later",
       .cut = {milliseconds(7000), milliseconds(16000)}},
      {.name = "hot, all killed for 0.1 s",
       .kill = {milliseconds(9000), milliseconds(100)}},
      {.name = "hot, all killed for 1 s",
       .kill = {milliseconds(9000), milliseconds(1000)}}};
  for (const Scene& scene : scenes) {
    Play<GossipQuota>("counts", scene);
    Play<LeaseQuota>("leases", scene);
    Play<RateQuota>("shares", scene);
  }
}
