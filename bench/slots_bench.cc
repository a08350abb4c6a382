// Compares the slot scheduler with simpler scheduling rules at worst-case load:
// online traffic in steps up to the capacity of the fleet beside an unlimited
// supply of batch items, on a model of servers with first-come, first-served
// admission.

#include <fmt/core.h>

#include <functional>

#include "fleet_model.h"

namespace knapweedstile::serving {
namespace {

constexpr int kSeeds = 5;

struct Rule {
  const char* name;
  std::function<void(FleetModel::Settings&)> apply;
};

FleetModel::Outcome RunSeeds(const Rule& rule, FleetModel::Settings settings) {
  FleetModel::Outcome sum;
  rule.apply(settings);
  for (int seed = 1; seed <= kSeeds; ++seed) {
    settings.seed = static_cast<uint64_t>(seed);
    const FleetModel::Outcome outcome = FleetModel(settings).Run();
    sum.online += outcome.online;
    sum.late += outcome.late;
    sum.rejected += outcome.rejected;
    sum.batch_slot_seconds += outcome.batch_slot_seconds;
    sum.mean_wait += outcome.mean_wait / kSeeds;
  }
  return sum;
}

void PrintTable(const char* title, const FleetModel::Settings& settings) {
  const Rule rules[] = {{"least used server in own view",
                         [](auto& s) { s.least_used_rule = true; }},
                        {"no slot reserved for online",
                         [](auto& s) { s.scheduler.batch_reserve = 0; }},
                        {"free slot before own item's slot",
                         [](auto& s) { s.scheduler.scarce_factor = 0; }},
                        {"queued items are not withdrawn",
                         [](auto& s) { s.withdraw_seconds = 1e6; }},
                        {"slot scheduler, unmodified", [](auto&) {}}};
  fmt::print("{}\n{:<38} {:>7} {:>7} {:>8} {:>12} {:>10}\n", title, "rule",
             "online", "late %", "rejected", "batch slot-s", "wait ms");
  for (const Rule& rule : rules) {
    const FleetModel::Outcome outcome = RunSeeds(rule, settings);
    fmt::print("{:<38} {:>7} {:>7.2f} {:>8} {:>12.0f} {:>10.1f}\n", rule.name,
               outcome.online, 100.0 * outcome.late / outcome.online,
               outcome.rejected, outcome.batch_slot_seconds,
               outcome.mean_wait * 1000);
  }
  fmt::print("\n");
}

}  // namespace
}  // namespace knapweedstile::serving

int main() {
  using knapweedstile::serving::FleetModel;
  using knapweedstile::serving::PrintTable;
  PrintTable(
      "5 gateways, 18 servers of 8 slots",
      {.gateways = 5, .servers = 18, .valley_rate = 35, .peak_rate = 185});
  PrintTable("21 gateways, 47 servers of 7 slots", {.gateways = 21,
                                                    .servers = 47,
                                                    .slots = 7,
                                                    .valley_rate = 95,
                                                    .peak_rate = 430,
                                                    .run_seconds = 15});
  return 0;
}
