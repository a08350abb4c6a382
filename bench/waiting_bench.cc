// Compares what to do with online requests beyond all slots, on a model of
// gateways before one pool of slots: reject at once, let some wait, schedule
// the returns, or both.

#include <fmt/core.h>

#include <string>

#include "burst_model.h"

namespace knapweedstile::admission {
namespace {

constexpr uint64_t kSeeds = 12;

struct Way {
  const char* name;
  bool waits;
  bool promises;
};

constexpr Way kWays[] = {{"reject at once", false, false},
                         {"wait", true, false},
                         {"promise", false, true},
                         {"both", true, true}};

void Print(const std::string& load, BurstModel::Settings settings) {
  for (const Way& way : kWays) {
    settings.waits = way.waits;
    settings.promises = way.promises;
    BurstModel::Outcome sum;
    for (settings.seed = 1; settings.seed <= kSeeds; ++settings.seed) {
      sum += BurstModel(settings).Run();
    }
    fmt::print(
        "{:<22} {:<15} {:>8} {:>8} {:>6} {:>6} {:>8} {:>8} {:>7} {:>7.4f}\n",
        load, way.name, sum.requests, sum.in_time, sum.in_time_again, sum.late,
        sum.rejected, sum.waited_in_vain, sum.waited, sum.Worth());
  }
}

}  // namespace
}  // namespace knapweedstile::admission

int main() {
  using knapweedstile::admission::BurstModel;
  using knapweedstile::admission::Print;
  fmt::print("{:<22} {:<15} {:>8} {:>8} {:>6} {:>6} {:>8} {:>8} {:>7} {:>7}\n",
             "load", "way", "requests", "in time", "again", "late", "rejected",
             "in vain", "waited", "worth");
  for (const size_t gateways : {4, 12}) {
    for (const double factor : {2.0, 3.0, 4.0}) {
      Print(fmt::format("burst x{}, {} gateways", factor, gateways),
            {.gateways = gateways, .burst_factor = factor});
    }
    Print(fmt::format("peaks, {} gateways", gateways),
          BurstModel::AlternatingPeaks(gateways));
  }
  return 0;
}
