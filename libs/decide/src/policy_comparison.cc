#include "decide/policy_comparison.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "base/rng.h"

namespace knapweedstile::decide {
namespace {

constexpr size_t kSides = 2;
// Below these a comparison says "within noise" whatever the figures. Ground: of
// the 64 ways to exchange the sides in six blocks two are as extreme as the
// most extreme one, 0.031, which five blocks (0.063) cannot reach at 95%; and a
// p99 needs a sample beyond it.
constexpr uint32_t kLeastBlocks = 6;
constexpr uint64_t kLeastOnlineSamples = 100;
// Up to these, every exchange of sides is looked at instead of random ones.
constexpr uint32_t kAllExchangesBlocks = 10;

constexpr size_t IndexOf(PolicySide side) { return static_cast<size_t>(side); }

// One online answer, reduced to what the resampling needs.
struct Answer {
  double seconds = 0;
  uint32_t block = 0;
  uint32_t side = 0;
};

struct SideData {
  std::vector<uint64_t> answers_in_block;
  std::vector<uint64_t> items_in_block;
};

// How the blocks are counted: each `weight` times, and with its sides exchanged
// where `swap` is 1.
struct Counting {
  explicit Counting(uint32_t blocks) : weight(blocks, 1), swap(blocks, 0) {}

  std::vector<uint32_t> weight;
  std::vector<uint32_t> swap;
};

struct Data {
  std::vector<Answer> answers;  // of both sides, slowest first
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
      data.answers.push_back({ToSeconds(sample.first_token_after),
                              static_cast<uint32_t>(block),
                              static_cast<uint32_t>(IndexOf(sample.side))});
    }
  }
  std::sort(
      data.answers.begin(), data.answers.end(),
      [](const Answer& a, const Answer& b) { return a.seconds > b.seconds; });
  return data;
}

// Sum over the blocks of what `in_block` of SideData counts for `side`.
uint64_t Total(const Data& data, const Counting& counting, uint32_t side,
               std::vector<uint64_t> SideData::*in_block) {
  uint64_t total = 0;
  for (uint32_t b = 0; b < data.blocks; ++b) {
    const SideData& from = data.sides[side ^ counting.swap[b]];
    total += counting.weight[b] * (from.*in_block)[b];
  }
  return total;
}

// Only the slow end is walked.
double Percentile(const Data& data, const Counting& counting, uint32_t side,
                  double quantile) {
  const uint64_t total =
      Total(data, counting, side, &SideData::answers_in_block);
  const auto beyond =
      static_cast<uint64_t>((1 - quantile) * static_cast<double>(total));
  uint64_t seen = 0;
  for (const Answer& answer : data.answers) {
    if ((answer.side ^ counting.swap[answer.block]) != side) continue;
    seen += counting.weight[answer.block];
    if (seen > beyond) return answer.seconds;
  }
  return 0;
}

uint64_t Items(const Data& data, const Counting& counting, uint32_t side) {
  return Total(data, counting, side, &SideData::items_in_block);
}

double RatioOf(double second, double first) {
  return first > 0 ? second / first : 1;
}

struct Ratios {
  double online_p99 = 1;
  double batch_rate = 1;
};

Ratios RatiosOf(const Data& data, const Counting& counting) {
  return {RatioOf(Percentile(data, counting, 1, 0.99),
                  Percentile(data, counting, 0, 0.99)),
          RatioOf(static_cast<double>(Items(data, counting, 1)),
                  static_cast<double>(Items(data, counting, 0)))};
}

// Blocks drawn with replacement.
Counting DrawBlocks(Rng& rng, uint32_t blocks) {
  Counting counting(blocks);
  counting.weight.assign(blocks, 0);
  for (uint32_t i = 0; i < blocks; ++i) {
    ++counting.weight[UniformBelow(rng, blocks)];
  }
  return counting;
}

// The sides exchanged in blocks drawn at random: were the policies equal, each
// such exchange would have been as likely as what was measured.
Counting DrawExchange(Rng& rng, uint32_t blocks) {
  Counting counting(blocks);
  for (uint32_t& swap : counting.swap) {
    swap = static_cast<uint32_t>(UniformBelow(rng, 2));
  }
  return counting;
}

Counting ExchangeByBits(uint32_t bits, uint32_t blocks) {
  Counting counting(blocks);
  for (uint32_t b = 0; b < blocks; ++b) counting.swap[b] = (bits >> b) & 1;
  return counting;
}

bool AsFarFromOne(double drawn, double measured) {
  constexpr double kRounding = 1e-9;
  return std::abs(std::log(drawn)) >= std::abs(std::log(measured)) - kRounding;
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

// Shares of the exchanges that differ as much as what was measured.
struct Chances {
  double online_p99 = 1;
  double batch_rate = 1;
};

Chances ChancesOf(const ComparisonSettings& settings, const Data& data,
                  const Ratios& measured, Rng& rng) {
  const bool all = data.blocks <= kAllExchangesBlocks;
  const uint32_t draws = all ? 1U << data.blocks : settings.resamples;
  uint32_t online = 0;
  uint32_t batch = 0;
  for (uint32_t i = 0; i < draws; ++i) {
    const Ratios drawn = RatiosOf(data, all ? ExchangeByBits(i, data.blocks)
                                            : DrawExchange(rng, data.blocks));
    online += AsFarFromOne(drawn.online_p99, measured.online_p99) ? 1 : 0;
    batch += AsFarFromOne(drawn.batch_rate, measured.batch_rate) ? 1 : 0;
  }
  const double count = std::max<uint32_t>(draws, 1);
  return {online / count, batch / count};
}

void ResampleInto(const ComparisonSettings& settings, const Data& data,
                  const Ratios& measured, Rng& rng,
                  PolicyComparison& comparison) {
  std::vector<double> online;
  std::vector<double> batch;
  online.reserve(settings.resamples);
  batch.reserve(settings.resamples);
  for (uint32_t i = 0; i < settings.resamples && data.blocks > 0; ++i) {
    const Ratios ratios = RatiosOf(data, DrawBlocks(rng, data.blocks));
    online.push_back(ratios.online_p99);
    batch.push_back(ratios.batch_rate);
  }
  comparison.online_p99 =
      IntervalOf(measured.online_p99, std::move(online), settings.confidence);
  comparison.batch_rate =
      IntervalOf(measured.batch_rate, std::move(batch), settings.confidence);
}

SideResult ResultOf(const Data& data, uint32_t side) {
  const Counting once(data.blocks);
  SideResult result;
  result.online_samples = Total(data, once, side, &SideData::answers_in_block);
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
      return side.answers_in_block[b] + side.items_in_block[b] > 0;
    };
    paired += has(data.sides[0]) && has(data.sides[1]) ? 1 : 0;
  }
  return paired;
}

// Both the interval and the exchanges must speak for a difference: the interval
// is too narrow with few blocks, the exchanges say nothing of its size.
// `low_is_better` tells what a ratio (second over first) below one means.
ComparisonVerdict VerdictOf(const RatioInterval& interval, double chance,
                            double confidence, bool low_is_better) {
  if (chance > 1 - confidence || (interval.low <= 1 && interval.high >= 1)) {
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
  return SideOfBit(half ^ Draw(seed, 0) ^ (block & 1));
}

PolicySide SideOfBlockHalf(bool second_half, uint64_t block, uint64_t seed) {
  return SideOfBit(uint64_t{second_half} ^ Draw(seed, block));
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
  const Ratios measured = RatiosOf(data, Counting(data.blocks));
  ResampleInto(settings, data, measured, rng, comparison);
  if (comparison.blocks < kLeastBlocks) return comparison;
  const Chances chances = ChancesOf(settings, data, measured, rng);
  const uint64_t fewest = std::min(comparison.first.online_samples,
                                   comparison.second.online_samples);
  if (fewest >= kLeastOnlineSamples) {
    comparison.online_tail =
        VerdictOf(comparison.online_p99, chances.online_p99,
                  settings.confidence, /*low_is_better=*/true);
  }
  comparison.batch_throughput =
      VerdictOf(comparison.batch_rate, chances.batch_rate, settings.confidence,
                /*low_is_better=*/false);
  return comparison;
}

}  // namespace knapweedstile::decide
