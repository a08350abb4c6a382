#include "fault_plan.h"

#include <algorithm>

#include "base/rng.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

constexpr auto kKinds = static_cast<uint64_t>(kFirstScheduledApart);
constexpr auto kPlannedKinds = static_cast<uint64_t>(kFirstUnplanned);
constexpr milliseconds kMinDuration{300};
constexpr milliseconds kMaxDuration{5000};
// Mean interval between faults. Most faults last longer, so they overlap.
constexpr milliseconds kMeanInterval{900};
constexpr milliseconds kPlannedInterval{1400};
// One in kFaultsPerSeries faults becomes a series of up to kMaxSeriesLength.
constexpr uint64_t kFaultsPerSeries = 4;
constexpr uint64_t kMaxSeriesLength = 4;
// Waves of crashes. A run has one to kMaxWaveSeries series, which overlap each
// other and all other faults.
constexpr uint64_t kWaveSeed = 0x77617665;
constexpr uint64_t kMaxWaveSeries = 2;
constexpr uint64_t kMinWaves = 2;
constexpr uint64_t kMaxWaves = 6;
constexpr milliseconds kMinWaveInterval{800};
constexpr milliseconds kMaxWaveInterval{3000};

// Routes that are split over two services, of which the second loses all its
// servers at least once in a run.
constexpr uint64_t kSplitSeed = 0x73706c74;
constexpr uint64_t kMaxSplits = 3;
constexpr uint64_t kMaxServiceLosses = 2;
constexpr milliseconds kMinAbsence{4000};
constexpr milliseconds kMaxAbsence{12000};

// Single writes of jobs whose fate their writers don't learn. The last are done
// when no other fault is near, so that what gateways then list can be compared.
constexpr uint64_t kFateSeed = 0x66617465;
constexpr uint64_t kMinFates = 4;
constexpr uint64_t kMaxFates = 10;
constexpr milliseconds kMinWriteDelay{1000};
constexpr milliseconds kMaxWriteDelay{6000};

milliseconds Between(Rng& rng, milliseconds least, milliseconds most) {
  const auto width = static_cast<uint64_t>((most - least).count());
  return least + milliseconds(UniformBelow(rng, width + 1));
}

PlannedFault Draw(Rng& rng, milliseconds at, uint64_t kinds) {
  return {.at = at,
          .kind = static_cast<FaultKind>(UniformBelow(rng, kinds)),
          .duration = Between(rng, kMinDuration, kMaxDuration),
          .target = rng(),
          .strength = rng()};
}

// From a generator of its own, so that a seed keeps its other faults.
void AddCrashWaves(uint64_t seed, milliseconds begin, milliseconds end,
                   std::vector<PlannedFault>& plan) {
  Rng rng(seed ^ kWaveSeed);
  const uint64_t series = 1 + UniformBelow(rng, kMaxWaveSeries);
  for (uint64_t i = 0; i < series; ++i) {
    const uint64_t waves =
        kMinWaves + UniformBelow(rng, kMaxWaves - kMinWaves + 1);
    const uint64_t strength = rng();
    milliseconds at = Between(rng, begin, (begin + end) / 2);
    for (uint64_t wave = 0; wave < waves && at < end; ++wave) {
      plan.push_back({.at = at,
                      .kind = FaultKind::kServersCrash,
                      .target = rng(),
                      .strength = strength});
      at += Between(rng, kMinWaveInterval, kMaxWaveInterval);
    }
  }
}

// From a generator of its own as well. Routes are split from early on.
void AddServiceLosses(uint64_t seed, const SoakSize& size,
                      std::vector<PlannedFault>& plan) {
  Rng rng(seed ^ kSplitSeed);
  const milliseconds end = size.planned_phase + size.fault_phase;
  const auto add = [&](milliseconds at, FaultKind kind) {
    plan.push_back({.at = at,
                    .kind = kind,
                    .duration = Between(rng, kMinAbsence, kMaxAbsence),
                    .strength = rng()});
  };
  add(Between(rng, milliseconds(0), size.planned_phase / 2),
      FaultKind::kSplitRoutes);
  for (uint64_t more = UniformBelow(rng, kMaxSplits); more > 0; --more) {
    add(Between(rng, milliseconds(0), end), FaultKind::kSplitRoutes);
  }
  if (UniformBelow(rng, 2) == 0) {
    add(Between(rng, size.planned_phase / 2, size.planned_phase),
        FaultKind::kServiceDrained);
  }
  for (uint64_t more = 1 + UniformBelow(rng, kMaxServiceLosses); more > 0;
       --more) {
    add(Between(rng, size.planned_phase, end), UniformBelow(rng, 2) == 0
                                                   ? FaultKind::kServiceDrained
                                                   : FaultKind::kServiceLost);
  }
}

void AddWriteFates(uint64_t seed, milliseconds begin, milliseconds end,
                   std::vector<PlannedFault>& plan) {
  Rng rng(seed ^ kFateSeed);
  const uint64_t fates =
      kMinFates + UniformBelow(rng, kMaxFates - kMinFates + 1);
  for (uint64_t i = 0; i < fates; ++i) {
    plan.push_back({.at = Between(rng, begin, end),
                    .kind = FaultKind::kWriteUnanswered,
                    .duration = Between(rng, kMinWriteDelay, kMaxWriteDelay),
                    .target = rng(),
                    .strength = rng()});
  }
}

}  // namespace

std::vector<PlannedFault> MakeFaultPlan(uint64_t seed, const SoakSize& size) {
  Rng rng(seed);
  std::vector<PlannedFault> plan;
  milliseconds at = Between(rng, milliseconds(500), kPlannedInterval);
  while (at < size.planned_phase) {
    plan.push_back(Draw(rng, at, kPlannedKinds));
    at += Between(rng, kPlannedInterval / 2, kPlannedInterval * 2);
  }
  const milliseconds end = size.planned_phase + size.fault_phase;
  at = std::max(at, size.planned_phase);
  while (at < end) {
    PlannedFault fault = Draw(rng, at, kKinds);
    const uint64_t repeats = UniformBelow(rng, kFaultsPerSeries) == 0
                                 ? 1 + UniformBelow(rng, kMaxSeriesLength)
                                 : 1;
    for (uint64_t i = 0; i < repeats && fault.at < end; ++i) {
      plan.push_back(fault);
      fault.at += Between(rng, kMinDuration, kMeanInterval);
      // Half of the repeats hit a new target.
      if (UniformBelow(rng, 2) == 0) fault.target = rng();
    }
    at += Between(rng, milliseconds(0), kMeanInterval * 2);
  }
  AddCrashWaves(seed, size.planned_phase, end, plan);
  AddServiceLosses(seed, size, plan);
  AddWriteFates(seed, end - size.fault_phase / 2, end, plan);
  std::stable_sort(plan.begin(), plan.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return plan;
}

}  // namespace knapweedstile::soak
