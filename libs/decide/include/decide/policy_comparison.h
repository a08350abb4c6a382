#ifndef KNAPWEEDSTILE_DECIDE_POLICY_COMPARISON_H_
#define KNAPWEEDSTILE_DECIDE_POLICY_COMPARISON_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"
#include "base/traffic_class.h"

// Fair comparison of two serving policies on one fleet.
//
// Guards against changes of the load and the fleet during the comparison: one
// policy in the morning and the other in the afternoon would compare the hours
// instead. Time is therefore cut into short blocks, each block holds samples of
// both policies, and only differences within blocks count.
//
// Two designs give such blocks:
//
// - split: two halves of the fleet serve under one policy each, requests are
//   assigned to a half by hash, and the halves swap policies in each block;
// - alternate: the whole fleet serves under one policy for half of the block
//   and under the other for the other half, in random order per block.
//
// The confidence intervals come from a block bootstrap, since samples within a
// block are not independent of each other. A verdict also requires a
// permutation test: exchanging the two sides in random blocks must seldom give
// as large a difference as observed. It is valid with as few as six blocks.
namespace knapweedstile::decide {

enum class PolicySide { kFirst, kSecond };

enum class ComparisonDesign { kSplit, kAlternate };

enum class ComparisonVerdict { kFirstBetter, kSecondBetter, kWithinNoise };

// One online response or one completed batch item.
struct ComparisonSample {
  PolicySide side = PolicySide::kFirst;  // the policy that served it
  TrafficClass traffic_class = TrafficClass::kOnline;
  TimePoint at;                  // online: arrival; batch: completion
  Duration first_token_after{};  // online only: TTFT
};

struct ComparisonSettings {
  ComparisonDesign design = ComparisonDesign::kSplit;
  TimePoint start;
  TimePoint end;  // an incomplete last block is left out
  // Much longer than one request, short against changes of the load.
  Duration block = std::chrono::seconds(60);
  // Samples within this time after a switch are left out, because requests that
  // started under the other policy still run; about the duration of a typical
  // request.
  Duration settle = std::chrono::seconds(5);
  double confidence = 0.95;
  uint32_t resamples = 1000;
  uint64_t seed = 1;
};

// Policy that serves a request (split design). Assigned anew in each block, so
// that a caller or prompt is not bound to one policy.
PolicySide SideOfRequest(uint64_t request_hash, uint64_t block, uint64_t seed);

// Policy of the engines of fleet half 0 or 1 in a block (split design).
PolicySide SideOfFleetHalf(uint32_t half, uint64_t block, uint64_t seed);

// Policy that applies in the first or second half of the block's time
// (alternate design).
PolicySide SideOfBlockHalf(bool second_half, uint64_t block, uint64_t seed);

// Latency and throughput measured under one policy.
struct SideResult {
  uint64_t online_samples = 0;
  uint64_t batch_items = 0;
  double p50_seconds = 0;  // TTFT
  double p95_seconds = 0;
  double p99_seconds = 0;
  double harm = 0;  // p99 over the baseline's p99; 0 without a baseline
  double batch_items_per_second = 0;
};

// Ratio of the second policy to the first, with its confidence interval.
struct RatioInterval {
  double ratio = 1;
  double low = 0;
  double high = 0;
};

struct PolicyComparison {
  SideResult first;
  SideResult second;
  uint32_t blocks = 0;  // with online or batch samples of both
  RatioInterval online_p99;
  RatioInterval batch_rate;
  ComparisonVerdict online_tail = ComparisonVerdict::kWithinNoise;
  ComparisonVerdict batch_throughput = ComparisonVerdict::kWithinNoise;
};

// `baseline_first_token`: TTFTs of the same online traffic without batch; may
// be empty.
PolicyComparison ComparePolicies(
    const ComparisonSettings& settings,
    const std::vector<ComparisonSample>& samples,
    const std::vector<Duration>& baseline_first_token);

}  // namespace knapweedstile::decide

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<decide::PolicySide> = {"first", "second"};

template <>
inline constexpr std::array<std::string_view, 2>
    kEnumNames<decide::ComparisonDesign> = {"split", "alternate"};

template <>
inline constexpr std::array<std::string_view, 3>
    kEnumNames<decide::ComparisonVerdict> = {"first_better", "second_better",
                                             "within_noise"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_DECIDE_POLICY_COMPARISON_H_
