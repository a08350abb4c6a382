// Spread of configuration at the size of the letter: 3,200 entries in 15
// availability zones and 10,000 sidecars, in simulated time. Prints, for each
// shape of the tree, how long a change takes to all, what a node spends on
// heartbeats and on configuration, the platform's calls and the degree.
// usage: spread_bench [ENTRIES SIDECARS]

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/clock.h"
#include "spread_simulation.h"

namespace knapweedstile::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kZones = 15;
// 86,000 changes a day are one a second.
constexpr int kChanges = 20;
constexpr size_t kValueBytes = 500;
constexpr Duration kStep = milliseconds(50);

struct Variant {
  uint32_t relays;
  uint32_t branching;
  Duration heartbeat;
};

struct Totals {
  double heartbeats = 0;
  double heartbeat_bytes = 0;
  double messages = 0;
  double bytes = 0;
  double most_bytes = 0;
};

Totals Sum(const SpreadSimulation& fleet, size_t first, size_t last) {
  Totals totals;
  for (size_t i = first; i < last; ++i) {
    const SimulationTraffic& t = fleet.traffic(i);
    totals.heartbeats += static_cast<double>(t.heartbeats);
    totals.heartbeat_bytes += static_cast<double>(t.heartbeat_bytes);
    totals.messages += static_cast<double>(t.messages);
    totals.bytes += static_cast<double>(t.bytes);
    totals.most_bytes =
        std::max(totals.most_bytes, static_cast<double>(t.bytes));
  }
  return totals;
}

struct Degrees {
  double mean = 0;
  size_t most = 0;
};

Degrees DegreesOf(const SpreadSimulation& fleet, size_t first, size_t last) {
  Degrees degrees;
  for (size_t i = first; i < last; ++i) {
    degrees.mean += static_cast<double>(fleet.links(i));
    degrees.most = std::max(degrees.most, fleet.links(i));
  }
  degrees.mean /= static_cast<double>(last - first);
  return degrees;
}

// Until every node has the present configuration.
double SecondsToAll(SpreadSimulation& fleet) {
  const TimePoint start = fleet.now();
  while (!fleet.Settled() && fleet.now() - start < seconds(60)) {
    fleet.RunFor(kStep);
  }
  return ToSeconds(fleet.now() - start);
}

void Run(const SimulationShape& shape, const Variant& variant) {
  SpreadSettings settings;
  settings.relays = variant.relays;
  settings.branching = variant.branching;
  const TimePoint began = MonotonicNow();
  SpreadSimulation fleet(shape, settings, 1);
  for (int i = 0; i < 20; ++i) {
    fleet.platform.Put("object-" + std::to_string(i),
                       std::string(kValueBytes, 'v'));
  }
  fleet.Changed();
  fleet.RunFor(seconds(20));
  // One change alone: the time to all.
  std::vector<double> times;
  for (int i = 0; i < 5; ++i) {
    fleet.platform.Put("alone-" + std::to_string(i),
                       std::string(kValueBytes, 'v'));
    fleet.Changed();
    times.push_back(SecondsToAll(fleet));
    fleet.RunFor(milliseconds(1700));
  }
  std::sort(times.begin(), times.end());
  // One a second: what it costs.
  const size_t entries = fleet.entries();
  const Totals entries_before = Sum(fleet, 0, entries);
  const Totals sidecars_before = Sum(fleet, entries, fleet.size());
  const uint64_t calls_before = fleet.platform_calls();
  for (int i = 0; i < kChanges; ++i) {
    fleet.platform.Put("object-" + std::to_string(i % 20),
                       std::string(kValueBytes, 'w'));
    fleet.Changed();
    fleet.RunFor(seconds(1));
  }
  const double calls =
      static_cast<double>(fleet.platform_calls() - calls_before) / kChanges;
  const auto print = [&](const char* role, size_t first, size_t last,
                         const Totals& before) {
    const Totals after = Sum(fleet, first, last);
    const double scale = kChanges * static_cast<double>(last - first);
    const Degrees degrees = DegreesOf(fleet, first, last);
    fmt::print(
        "{:6} {:9} {:9.1f} {:8} {:8.2f} {:8.2f} {:7.1f} {:6} {:9.1f} {:9.0f} "
        "{:9.2f} {:9.0f} {:8.1f}\n",
        variant.relays, variant.branching, ToSeconds(variant.heartbeat), role,
        times[times.size() / 2], times.back(), degrees.mean, degrees.most,
        (after.heartbeats - before.heartbeats) / scale,
        (after.heartbeat_bytes - before.heartbeat_bytes) / scale,
        (after.messages - before.messages) / scale,
        (after.bytes - before.bytes) / scale, calls);
  };
  print("entry", 0, entries, entries_before);
  print("sidecar", entries, fleet.size(), sidecars_before);
  // All relays of all zones at once, still in everybody's view, then a change.
  fleet.RunFor(seconds(13));
  for (size_t i = 0; i < entries; ++i) {
    if (fleet.spread(i).relay()) fleet.Kill(i);
  }
  fleet.platform.Put("after", std::string(kValueBytes, 'v'));
  fleet.Changed();
  const double after_loss = SecondsToAll(fleet);
  fmt::print("# all relays lost: {:.2f} s to all; went_back={} wall_s={:.0f}\n",
             after_loss, fleet.went_back(), ToSeconds(MonotonicNow() - began));
}

void PrintMemory() {
  constexpr size_t kObjects = 20000;
  const auto held = [] { return mallinfo2().uordblks; };
  const size_t before = held();
  ConfigStore store;
  std::vector<platform::StoredObject> objects;
  for (size_t i = 0; i < kObjects; ++i) {
    objects.push_back({"engine", "engine-" + std::to_string(i), i + 1, false,
                       std::string(kValueBytes, 'v')});
  }
  store.AdoptAll(std::move(objects), kObjects);
  const size_t with_values = held();
  std::vector<platform::StoredObject> deletions;
  for (size_t i = 0; i < ConfigStore::kMostDeletions; ++i) {
    deletions.push_back(
        {"engine", "gone-" + std::to_string(i), kObjects + i + 1, true, ""});
  }
  store.Adopt(std::move(deletions), kObjects,
              kObjects + ConfigStore::kMostDeletions);
  const size_t with_deletions = held();
  fmt::print(
      "memory: {} bytes an object with a value of {} bytes; {} bytes a "
      "remembered deletion\n",
      (with_values - before) / kObjects, kValueBytes,
      (with_deletions - with_values) / ConfigStore::kMostDeletions);
}

void PrintProcessorTime() {
  constexpr int kRounds = 200000;
  ConfigSpread spread({}, {"entry-0", "bern-a", true}, 1, TimePoint{});
  std::vector<SpreadAction> actions;
  for (uint64_t peer = 1; peer <= 40; ++peer) {
    pb::Hello hello;
    hello.set_node("peer-" + std::to_string(peer));
    spread.OnPeerUp(TimePoint{}, PeerId(peer), hello, actions);
  }
  actions.clear();
  pb::Heartbeat heartbeat;
  const TimePoint began = MonotonicNow();
  for (int i = 0; i < kRounds; ++i) {
    spread.OnHeartbeat(TimePoint{}, PeerId(1 + i % 40), heartbeat, actions);
  }
  fmt::print("processor: {:.2f} us a heartbeat taken, with 40 peers\n",
             ToSeconds(MonotonicNow() - began) * 1e6 / kRounds);
}

}  // namespace
}  // namespace knapweedstile::fleet

int main(int argc, char** argv) {
  using knapweedstile::fleet::SimulationShape;
  // Each line as it comes: the whole takes minutes.
  setvbuf(stdout, nullptr, _IOLBF, 0);
  SimulationShape shape;
  shape.zones = knapweedstile::fleet::kZones;
  const size_t entries = argc > 2 ? std::strtoul(argv[1], nullptr, 10) : 3200;
  shape.entries_per_zone = entries / shape.zones;
  shape.sidecars = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 10000;
  shape.entries_per_sidecar = 6;
  shape.count_bytes = true;
  fmt::print(
      "# {} entries in {} zones, {} sidecars with {} entries each; one "
      "change a second of {} bytes; bytes without TCP/IP headers, both "
      "directions\n",
      shape.zones * shape.entries_per_zone, shape.zones, shape.sidecars,
      shape.entries_per_sidecar, knapweedstile::fleet::kValueBytes);
  fmt::print(
      "{:>6} {:>9} {:>9} {:>8} {:>8} {:>8} {:>7} {:>6} {:>9} {:>9} "
      "{:>9} {:>9} {:>8}\n",
      "relays", "branching", "heartbeat", "role", "to_all50", "to_max",
      "degree", "most", "beats/s", "beat_B/s", "config/s", "conf_B/s",
      "calls/s");
  const std::vector<knapweedstile::fleet::Variant> variants = {
      {2, 8, std::chrono::milliseconds(500)}, {2, 8, std::chrono::seconds(1)},
      {2, 4, std::chrono::seconds(1)},        {2, 16, std::chrono::seconds(1)},
      {1, 8, std::chrono::seconds(1)},        {4, 8, std::chrono::seconds(1)},
  };
  knapweedstile::fleet::PrintMemory();
  knapweedstile::fleet::PrintProcessorTime();
  for (const auto& variant : variants) {
    shape.heartbeat = variant.heartbeat;
    knapweedstile::fleet::Run(shape, variant);
  }
}
