#include "decide/policy_comparison.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "base/rng.h"

namespace knapweedstile::decide {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint64_t kRequestsPerSecond = 10;

// One hour of traffic in which the TTFTs double in the second half. TTFTs and
// item rate of the second policy are those of the first times a factor.
struct Traffic {
  double second_first_token = 1;
  double second_items = 1;
  bool interleaved = true;  // false: the first policy first, then the second
};

constexpr uint64_t kSpanSeconds = 3600;

std::vector<ComparisonSample> Samples(const Traffic& traffic, uint64_t seed) {
  Rng rng(seed);
  std::vector<ComparisonSample> samples;
  for (uint64_t i = 0; i < kSpanSeconds * kRequestsPerSecond; ++i) {
    const uint64_t second = i / kRequestsPerSecond;
    ComparisonSample sample;
    sample.at = TimePoint(seconds(second));
    sample.side = traffic.interleaved
                      ? SideOfRequest(rng(), second / 60, seed)
                      : (second < kSpanSeconds / 2 ? PolicySide::kFirst
                                                   : PolicySide::kSecond);
    const bool is_second = sample.side == PolicySide::kSecond;
    const double load = second < kSpanSeconds / 2 ? 1 : 2;
    const double wait = -std::log(1 - UniformUnit(rng));
    const double factor = is_second ? traffic.second_first_token : 1;
    sample.first_token_after = FromSeconds(0.1 * load * factor * (1 + wait));
    samples.push_back(sample);
    if (UniformUnit(rng) >
        0.5 * (is_second ? traffic.second_items : 1) / load) {
      continue;
    }
    sample.traffic_class = TrafficClass::kBatch;
    samples.push_back(sample);
  }
  return samples;
}

PolicyComparison Compare(const Traffic& traffic, uint64_t seed) {
  const ComparisonSettings settings{
      .end = TimePoint(seconds(kSpanSeconds)), .resamples = 300, .seed = seed};
  return ComparePolicies(settings, Samples(traffic, seed), {});
}

// Comparing a policy with itself must nearly always be "within noise" (the
// interval is one of 95%), on both measures.
TEST_CASE("two equal policies are within noise") {
  int within_noise = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const PolicyComparison result = Compare({}, seed);
    within_noise += result.online_tail == ComparisonVerdict::kWithinNoise;
    within_noise += result.batch_throughput == ComparisonVerdict::kWithinNoise;
  }
  REQUIRE(within_noise >= 35);
}

// A short run of six blocks, as in a demonstration: equal policies must not be
// distinguished more often than once in twenty, with tolerance for chance, and
// a factor of two must be detected.
TEST_CASE("six blocks detect a large difference without more false ones") {
  const auto short_run = [](const Traffic& traffic, uint64_t seed) {
    const ComparisonSettings settings{
        .end = TimePoint(seconds(360)), .resamples = 300, .seed = seed};
    return ComparePolicies(settings, Samples(traffic, seed), {});
  };
  int distinguished = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    const PolicyComparison same = short_run({}, seed);
    distinguished += same.online_tail != ComparisonVerdict::kWithinNoise;
    distinguished += same.batch_throughput != ComparisonVerdict::kWithinNoise;
  }
  REQUIRE(distinguished <= 12);
  const PolicyComparison twice =
      short_run({.second_first_token = 2, .second_items = 2}, 4);
  REQUIRE(twice.online_tail == ComparisonVerdict::kFirstBetter);
  REQUIRE(twice.batch_throughput == ComparisonVerdict::kSecondBetter);
}

// The second policy raises TTFTs by a quarter and completes a quarter more
// batch items.
TEST_CASE("a difference and its direction are found for each measure") {
  const PolicyComparison result =
      Compare({.second_first_token = 1.25, .second_items = 1.25}, 3);
  REQUIRE(result.blocks == 60);
  REQUIRE(result.online_tail == ComparisonVerdict::kFirstBetter);
  REQUIRE(result.batch_throughput == ComparisonVerdict::kSecondBetter);
  REQUIRE(result.online_p99.low > 1);
  REQUIRE(result.online_p99.ratio == Approx(1.25).epsilon(0.1));
  REQUIRE(result.batch_rate.ratio == Approx(1.25).epsilon(0.1));
}

// Guards against taking a change of the load for a difference of the policies.
// The load doubles halfway; with the first policy before and the second after
// it, equal policies seem to differ by a factor of two. Such blocks hold one
// policy each, so no verdict is allowed. Interleaved, the ratio is correct.
TEST_CASE("a change of the load is not taken for a policy difference") {
  const PolicyComparison sequential = Compare({.interleaved = false}, 5);
  REQUIRE(sequential.second.p99_seconds > 1.5 * sequential.first.p99_seconds);
  REQUIRE(sequential.online_tail == ComparisonVerdict::kWithinNoise);
  const PolicyComparison interleaved = Compare({}, 5);
  REQUIRE(interleaved.online_p99.ratio == Approx(1).epsilon(0.1));
}

TEST_CASE("harm is the ratio to the baseline without batch") {
  const std::vector<ComparisonSample> samples = Samples({}, 7);
  std::vector<Duration> baseline;
  baseline.reserve(samples.size());
  for (const auto& sample : samples) {
    if (sample.traffic_class == TrafficClass::kBatch) continue;
    baseline.push_back(sample.first_token_after / 2);
  }
  const PolicyComparison result = ComparePolicies(
      {.end = TimePoint(seconds(kSpanSeconds)), .resamples = 10}, samples,
      baseline);
  REQUIRE(result.first.harm == Approx(2).epsilon(0.1));
}

// Each design assigns about half to both policies, and an engine changes sides.
TEST_CASE("sides are balanced") {
  int first = 0;
  for (uint64_t i = 0; i < 10000; ++i) {
    first += SideOfRequest(i, i / 100, 9) == PolicySide::kFirst;
    REQUIRE(SideOfFleetHalf(0, i, 9) != SideOfFleetHalf(1, i, 9));
    REQUIRE(SideOfFleetHalf(0, i, 9) != SideOfFleetHalf(0, i + 1, 9));
    REQUIRE(SideOfBlockHalf(false, i, 9) != SideOfBlockHalf(true, i, 9));
  }
  REQUIRE(first > 4800);
  REQUIRE(first < 5200);
}

}  // namespace
}  // namespace knapweedstile::decide
