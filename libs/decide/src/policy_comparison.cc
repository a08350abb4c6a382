#include "decide/policy_comparison.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "base/rng.h"

namespace knapweedstile::decide {
namespace {

constexpr size_t kSides = 2;
// Below these a comparison says "within noise" whatever the figures. Ground: a
// bootstrap over fewer blocks repeats them too often for its interval to hold,
// and a p99 needs some samples beyond it.
constexpr uint32_t kLeastBlocks = 10;
constexpr uint64_t kLeastOnlineSamples = 500;

constexpr size_t IndexOf(PolicySide side) { return static_cast<size_t>(side); }

// One online answer, reduced to what the resampling needs.
struct Answer {
  double seconds = 0;
  uint32_t block = 0;
};

struct SideData {
  std::vector<Answer> answers;  // slowest first
  std::vector<uint64_t> answers_in_block;
  std::vector<uint64_t> items_in_block;
};

struct Data {
  std::array<SideData, kSides> sides;
  uint32_t blocks = 0;
  double seconds_per_block = 0;  // of each side, settling left out
};

uint64_t Draw(uint64_t seed, uint64_t block) {
  return HashCombine(seed, HashCombine(block, seed)) & 1;
}

PolicySide SideOfBit(uint64_t bit) {
  return (bit & 1) == 0 ? PolicySide::kFirst : PolicySide::kSecond;
}

// Time since the last switch of policies before `since_start`.
Duration SinceSwitch(const ComparisonSettings& settings, Duration since_start) {
  const bool alternate = settings.design == ComparisonDesign::kAlternate;
  return since_start % (alternate ? settings.block / 2 : settings.block);
}

Data Collect(const ComparisonSettings& settings,
             const std::vector<ComparisonSample>& samples) {
  Data data;
  data.blocks = static_cast<uint32_t>(Remaining(settings.end, settings.start) /
                                      settings.block);
  const bool alternate = settings.design == ComparisonDesign::kAlternate;
  data.seconds_per_block = ToSeconds(
      (alternate ? settings.block / 2 : settings.block) - settings.settle);
  for (SideData& side : data.sides) {
    side.answers_in_block.resize(data.blocks);
    side.items_in_block.resize(data.blocks);
  }
  for (const ComparisonSample& sample : samples) {
    const Duration since = sample.at - settings.start;
    if (since < Duration::zero()) continue;
    const auto block = static_cast<uint64_t>(since / settings.block);
    if (block >= data.blocks) continue;
    if (SinceSwitch(settings, since) < settings.settle) continue;
    SideData& side = data.sides[IndexOf(sample.side)];
    if (sample.traffic_class == TrafficClass::kBatch) {
      ++side.items_in_block[block];
    } else {
      ++side.answers_in_block[block];
      side.answers.push_back(
          {ToSeconds(sample.first_token_after), static_cast<uint32_t>(block)});
    }
  }
  for (SideData& side : data.sides) {
    std::sort(
        side.answers.begin(), side.answers.end(),
        [](const Answer& a, const Answer& b) { return a.seconds > b.seconds; });
  }
  return data;
}

// Percentile of the answers when each block counts `weight[block]` times. Only
// the slow end is walked.
double Percentile(const SideData& side, const std::vector<uint32_t>& weight,
                  double quantile) {
  uint64_t total = 0;
  for (size_t b = 0; b < weight.size(); ++b) {
    total += weight[b] * side.answers_in_block[b];
  }
  const auto beyond =
      static_cast<uint64_t>((1 - quantile) * static_cast<double>(total));
  uint64_t seen = 0;
  for (const Answer& answer : side.answers) {
    seen += weight[answer.block];
    if (seen > beyond) return answer.seconds;
  }
  return 0;
}

uint64_t Items(const SideData& side, const std::vector<uint32_t>& weight) {
  uint64_t items = 0;
  for (size_t b = 0; b < weight.size(); ++b) {
    items += weight[b] * side.items_in_block[b];
  }
  return items;
}

double RatioOf(double second, double first) {
  return first > 0 ? second / first : 1;
}

struct Ratios {
  double online_p99 = 1;
  double batch_rate = 1;
};

Ratios RatiosOf(const Data& data, const std::vector<uint32_t>& weight) {
  const SideData& first = data.sides[0];
  const SideData& second = data.sides[1];
  return {RatioOf(Percentile(second, weight, 0.99),
                  Percentile(first, weight, 0.99)),
          RatioOf(static_cast<double>(Items(second, weight)),
                  static_cast<double>(Items(first, weight)))};
}

// Blocks drawn with replacement.
std::vector<uint32_t> DrawBlocks(Rng& rng, uint32_t blocks) {
  std::vector<uint32_t> weight(blocks);
  for (uint32_t i = 0; i < blocks; ++i) ++weight[UniformBelow(rng, blocks)];
  return weight;
}

RatioInterval IntervalOf(double ratio, std::vector<double> draws,
                         double confidence) {
  if (draws.empty()) return {ratio, ratio, ratio};
  std::sort(draws.begin(), draws.end());
  const double tail = (1 - confidence) / 2;
  const auto last = static_cast<double>(draws.size() - 1);
  return {ratio, draws[static_cast<size_t>(std::floor(tail * last))],
          draws[static_cast<size_t>(std::ceil((1 - tail) * last))]};
}

void ResampleInto(const ComparisonSettings& settings, const Data& data,
                  PolicyComparison& comparison) {
  Rng rng(settings.seed);
  std::vector<double> online;
  std::vector<double> batch;
  online.reserve(settings.resamples);
  batch.reserve(settings.resamples);
  for (uint32_t i = 0; i < settings.resamples && data.blocks > 0; ++i) {
    const Ratios ratios = RatiosOf(data, DrawBlocks(rng, data.blocks));
    online.push_back(ratios.online_p99);
    batch.push_back(ratios.batch_rate);
  }
  const Ratios whole = RatiosOf(data, std::vector<uint32_t>(data.blocks, 1));
  comparison.online_p99 =
      IntervalOf(whole.online_p99, std::move(online), settings.confidence);
  comparison.batch_rate =
      IntervalOf(whole.batch_rate, std::move(batch), settings.confidence);
}

SideResult ResultOf(const Data& data, const SideData& side) {
  const std::vector<uint32_t> once(data.blocks, 1);
  SideResult result;
  result.online_samples = side.answers.size();
  result.batch_items = Items(side, once);
  result.p50_seconds = Percentile(side, once, 0.50);
  result.p95_seconds = Percentile(side, once, 0.95);
  result.p99_seconds = Percentile(side, once, 0.99);
  const double seconds = data.blocks * data.seconds_per_block;
  if (seconds > 0) {
    result.batch_items_per_second =
        static_cast<double>(result.batch_items) / seconds;
  }
  return result;
}

uint32_t PairedBlocks(const Data& data) {
  uint32_t paired = 0;
  for (uint32_t b = 0; b < data.blocks; ++b) {
    const auto has = [&](const SideData& side) {
      return side.answers_in_block[b] + side.items_in_block[b] > 0;
    };
    paired += has(data.sides[0]) && has(data.sides[1]) ? 1 : 0;
  }
  return paired;
}

// `low_is_better` tells what a ratio (second over first) below one means.
ComparisonVerdict VerdictOf(const RatioInterval& interval, bool low_is_better) {
  if (interval.low <= 1 && interval.high >= 1) {
    return ComparisonVerdict::kWithinNoise;
  }
  return (interval.high < 1) == low_is_better ? ComparisonVerdict::kSecondBetter
                                              : ComparisonVerdict::kFirstBetter;
}

double BaselineP99(const std::vector<Duration>& baseline) {
  std::vector<double> seconds;
  seconds.reserve(baseline.size());
  for (const Duration d : baseline) seconds.push_back(ToSeconds(d));
  std::sort(seconds.begin(), seconds.end());
  return seconds.empty() ? 0 : seconds[(seconds.size() - 1) * 99 / 100];
}

}  // namespace

PolicySide SideOfRequest(uint64_t request_hash, uint64_t block, uint64_t seed) {
  return SideOfBit(HashCombine(HashCombine(seed, block), request_hash));
}

PolicySide SideOfHalf(uint32_t half, uint64_t block, uint64_t seed) {
  return SideOfBit(half ^ Draw(seed, 0) ^ (block & 1));
}

PolicySide SideInTime(bool second_half, uint64_t block, uint64_t seed) {
  return SideOfBit(uint64_t{second_half} ^ Draw(seed, block));
}

PolicyComparison ComparePolicies(
    const ComparisonSettings& settings,
    const std::vector<ComparisonSample>& samples,
    const std::vector<Duration>& baseline_first_token) {
  const Data data = Collect(settings, samples);
  PolicyComparison comparison;
  comparison.first = ResultOf(data, data.sides[0]);
  comparison.second = ResultOf(data, data.sides[1]);
  comparison.blocks = PairedBlocks(data);
  const double baseline = BaselineP99(baseline_first_token);
  if (baseline > 0) {
    comparison.first.harm = comparison.first.p99_seconds / baseline;
    comparison.second.harm = comparison.second.p99_seconds / baseline;
  }
  ResampleInto(settings, data, comparison);
  if (comparison.blocks < kLeastBlocks) return comparison;
  const uint64_t fewest = std::min(comparison.first.online_samples,
                                   comparison.second.online_samples);
  if (fewest >= kLeastOnlineSamples) {
    comparison.online_tail =
        VerdictOf(comparison.online_p99, /*low_is_better=*/true);
  }
  comparison.batch_throughput =
      VerdictOf(comparison.batch_rate, /*low_is_better=*/false);
  return comparison;
}

}  // namespace knapweedstile::decide
