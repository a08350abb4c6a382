#include "decide/policy_comparison.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "base/rng.h"

namespace knapweedstile::decide {
namespace {

constexpr size_t kSides = 2;
// Below these minimums the verdict is "within noise" whatever the figures. Of
// the 64 ways to exchange the sides in six blocks, two are as extreme as the
// most extreme one, 0.031; five blocks (0.063) cannot reach 95%. A p99 needs a
// sample beyond it.
constexpr uint32_t kMinBlocks = 6;
constexpr uint64_t kMinOnlineSamples = 100;
// Up to this number of blocks all exchanges of sides are enumerated instead of
// sampled.
constexpr uint32_t kMaxEnumeratedBlocks = 10;

constexpr size_t IndexOf(PolicySide side) { return static_cast<size_t>(side); }

// One online response, reduced to what the resampling needs.
struct Response {
  double seconds = 0;
  uint32_t block = 0;
  uint32_t side = 0;
};

struct SideData {
  std::vector<uint64_t> responses_in_block;
  std::vector<uint64_t> items_in_block;
};

// Resampling weights: block b counts `weight[b]` times, with its sides
// exchanged where `swap[b]` is 1.
struct BlockWeights {
  explicit BlockWeights(uint32_t blocks) : weight(blocks, 1), swap(blocks, 0) {}

  std::vector<uint32_t> weight;
  std::vector<uint32_t> swap;
};

struct Data {
  std::vector<Response> responses;  // of both sides, slowest first
  std::array<SideData, kSides> sides;
  uint32_t blocks = 0;
  double seconds_per_block = 0;  // per side, without the settling time
};

uint64_t RandomBit(uint64_t seed, uint64_t block) {
  return HashCombine(seed, HashCombine(block, seed)) & 1;
}

PolicySide SideOfBit(uint64_t bit) {
  return (bit & 1) == 0 ? PolicySide::kFirst : PolicySide::kSecond;
}

// Time from the last switch of policies until `since_start`.
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
    side.responses_in_block.resize(data.blocks);
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
      ++side.responses_in_block[block];
      data.responses.push_back({ToSeconds(sample.first_token_after),
                                static_cast<uint32_t>(block),
                                static_cast<uint32_t>(IndexOf(sample.side))});
    }
  }
  std::sort(data.responses.begin(), data.responses.end(),
            [](const Response& a, const Response& b) {
              return a.seconds > b.seconds;
            });
  return data;
}

// Weighted sum over the blocks of the counts `in_block` of `side`.
uint64_t Total(const Data& data, const BlockWeights& weights, uint32_t side,
               std::vector<uint64_t> SideData::*in_block) {
  uint64_t total = 0;
  for (uint32_t b = 0; b < data.blocks; ++b) {
    const SideData& from = data.sides[side ^ weights.swap[b]];
    total += weights.weight[b] * (from.*in_block)[b];
  }
  return total;
}

// The responses are sorted slowest first, so only the slow end is visited.
double Percentile(const Data& data, const BlockWeights& weights, uint32_t side,
                  double quantile) {
  const uint64_t total =
      Total(data, weights, side, &SideData::responses_in_block);
  const auto beyond =
      static_cast<uint64_t>((1 - quantile) * static_cast<double>(total));
  uint64_t seen = 0;
  for (const Response& response : data.responses) {
    if ((response.side ^ weights.swap[response.block]) != side) continue;
    seen += weights.weight[response.block];
    if (seen > beyond) return response.seconds;
  }
  return 0;
}

uint64_t Items(const Data& data, const BlockWeights& weights, uint32_t side) {
  return Total(data, weights, side, &SideData::items_in_block);
}

double RatioOf(double second, double first) {
  return first > 0 ? second / first : 1;
}

struct Ratios {
  double online_p99 = 1;
  double batch_rate = 1;
};

Ratios RatiosOf(const Data& data, const BlockWeights& weights) {
  return {RatioOf(Percentile(data, weights, 1, 0.99),
                  Percentile(data, weights, 0, 0.99)),
          RatioOf(static_cast<double>(Items(data, weights, 1)),
                  static_cast<double>(Items(data, weights, 0)))};
}

// Bootstrap sample: blocks drawn with replacement.
BlockWeights SampleBlocks(Rng& rng, uint32_t blocks) {
  BlockWeights weights(blocks);
  weights.weight.assign(blocks, 0);
  for (uint32_t i = 0; i < blocks; ++i) {
    ++weights.weight[UniformBelow(rng, blocks)];
  }
  return weights;
}

// Permutation sample: sides exchanged in random blocks. For equal policies each
// such exchange is as likely as the observation.
BlockWeights SampleExchange(Rng& rng, uint32_t blocks) {
  BlockWeights weights(blocks);
  for (uint32_t& swap : weights.swap) {
    swap = static_cast<uint32_t>(UniformBelow(rng, 2));
  }
  return weights;
}

BlockWeights ExchangeByBits(uint32_t bits, uint32_t blocks) {
  BlockWeights weights(blocks);
  for (uint32_t b = 0; b < blocks; ++b) weights.swap[b] = (bits >> b) & 1;
  return weights;
}

bool IsAsExtreme(double sampled, double observed) {
  constexpr double kRounding = 1e-9;
  return std::abs(std::log(sampled)) >=
         std::abs(std::log(observed)) - kRounding;
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

// Shares of the exchanges whose ratio is as extreme as the observed one
// (p-values).
struct PValues {
  double online_p99 = 1;
  double batch_rate = 1;
};

PValues PValuesOf(const ComparisonSettings& settings, const Data& data,
                  const Ratios& observed, Rng& rng) {
  const bool all = data.blocks <= kMaxEnumeratedBlocks;
  const uint32_t draws = all ? 1U << data.blocks : settings.resamples;
  uint32_t online = 0;
  uint32_t batch = 0;
  for (uint32_t i = 0; i < draws; ++i) {
    const Ratios sampled =
        RatiosOf(data, all ? ExchangeByBits(i, data.blocks)
                           : SampleExchange(rng, data.blocks));
    online += IsAsExtreme(sampled.online_p99, observed.online_p99) ? 1 : 0;
    batch += IsAsExtreme(sampled.batch_rate, observed.batch_rate) ? 1 : 0;
  }
  const double count = std::max<uint32_t>(draws, 1);
  return {online / count, batch / count};
}

void ResampleInto(const ComparisonSettings& settings, const Data& data,
                  const Ratios& observed, Rng& rng,
                  PolicyComparison& comparison) {
  std::vector<double> online;
  std::vector<double> batch;
  online.reserve(settings.resamples);
  batch.reserve(settings.resamples);
  for (uint32_t i = 0; i < settings.resamples && data.blocks > 0; ++i) {
    const Ratios ratios = RatiosOf(data, SampleBlocks(rng, data.blocks));
    online.push_back(ratios.online_p99);
    batch.push_back(ratios.batch_rate);
  }
  comparison.online_p99 =
      IntervalOf(observed.online_p99, std::move(online), settings.confidence);
  comparison.batch_rate =
      IntervalOf(observed.batch_rate, std::move(batch), settings.confidence);
}

SideResult ResultOf(const Data& data, uint32_t side) {
  const BlockWeights once(data.blocks);
  SideResult result;
  result.online_samples =
      Total(data, once, side, &SideData::responses_in_block);
  result.batch_items = Items(data, once, side);
  result.p50_seconds = Percentile(data, once, side, 0.50);
  result.p95_seconds = Percentile(data, once, side, 0.95);
  result.p99_seconds = Percentile(data, once, side, 0.99);
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
      return side.responses_in_block[b] + side.items_in_block[b] > 0;
    };
    paired += has(data.sides[0]) && has(data.sides[1]) ? 1 : 0;
  }
  return paired;
}

// Requires both the interval and the permutation test to show a difference: the
// interval is too narrow with few blocks, and the test says nothing about the
// size of the difference. `low_is_better`: whether a ratio (second over first)
// below one favors the second policy.
ComparisonVerdict VerdictOf(const RatioInterval& interval, double p_value,
                            double confidence, bool low_is_better) {
  if (p_value > 1 - confidence || (interval.low <= 1 && interval.high >= 1)) {
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

PolicySide SideOfFleetHalf(uint32_t half, uint64_t block, uint64_t seed) {
  return SideOfBit(half ^ RandomBit(seed, 0) ^ (block & 1));
}

PolicySide SideOfBlockHalf(bool second_half, uint64_t block, uint64_t seed) {
  return SideOfBit(uint64_t{second_half} ^ RandomBit(seed, block));
}

PolicyComparison ComparePolicies(
    const ComparisonSettings& settings,
    const std::vector<ComparisonSample>& samples,
    const std::vector<Duration>& baseline_first_token) {
  const Data data = Collect(settings, samples);
  PolicyComparison comparison;
  comparison.first = ResultOf(data, 0);
  comparison.second = ResultOf(data, 1);
  comparison.blocks = PairedBlocks(data);
  const double baseline = BaselineP99(baseline_first_token);
  if (baseline > 0) {
    comparison.first.harm = comparison.first.p99_seconds / baseline;
    comparison.second.harm = comparison.second.p99_seconds / baseline;
  }
  Rng rng(settings.seed);
  const Ratios observed = RatiosOf(data, BlockWeights(data.blocks));
  ResampleInto(settings, data, observed, rng, comparison);
  if (comparison.blocks < kMinBlocks) return comparison;
  const PValues p_values = PValuesOf(settings, data, observed, rng);
  const uint64_t min_samples = std::min(comparison.first.online_samples,
                                        comparison.second.online_samples);
  if (min_samples >= kMinOnlineSamples) {
    comparison.online_tail =
        VerdictOf(comparison.online_p99, p_values.online_p99,
                  settings.confidence, /*low_is_better=*/true);
  }
  comparison.batch_throughput =
      VerdictOf(comparison.batch_rate, p_values.batch_rate, settings.confidence,
                /*low_is_better=*/false);
  return comparison;
}

}  // namespace knapweedstile::decide
