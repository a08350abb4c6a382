#ifndef KNAPWEEDSTILE_DECIDE_POLICY_COMPARISON_H_
#define KNAPWEEDSTILE_DECIDE_POLICY_COMPARISON_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/time.h"
#include "base/traffic_class.h"

// A comparison of two serving policies that is fair on one fleet.
//
// Load pattern answered: load and the fleet change while two policies are
// compared. Comparing the policy of the morning with that of the afternoon
// compares the hours. So the time is cut into short blocks, each block holds
// samples of both policies, and only differences inside blocks count.
//
// Two designs give such blocks:
//  - split: two halves of the fleet serve under one policy each, requests are
//    assigned to a half by hash, and the halves swap policies in each block;
//  - alternate: the whole fleet serves under one policy for half of the block
//    and under the other for the other half, the order drawn for each block.
//
// The confidence intervals come from resampling whole blocks (bootstrap), since
// samples inside a block are not independent of each other. A verdict asks
// besides that exchanging the two sides in random blocks seldom differs as much
// as what was measured, which holds with as few as six blocks.
namespace knapweedstile::decide {

enum class PolicySide { kFirst, kSecond };

enum class ComparisonDesign { kSplit, kAlternate };

enum class ComparisonVerdict { kFirstBetter, kSecondBetter, kWithinNoise };

// One online answer or one completed batch item.
struct ComparisonSample {
  PolicySide side = PolicySide::kFirst;  // the policy that served it
  TrafficClass traffic_class = TrafficClass::kOnline;
  TimePoint at;                  // online: arrival; batch: completion
  Duration first_token_after{};  // online only: TTFT
};

struct ComparisonSettings {
  ComparisonDesign design = ComparisonDesign::kSplit;
  TimePoint start;
  TimePoint end;  // a part of a block at the end is left out
  // Ground: much longer than one request, short against changes of the load.
  Duration block = std::chrono::seconds(60);
  // Samples this soon after a switch are left out: what the other policy had
  // started still runs. Ground: a typical request's time. To be measured.
  Duration settle = std::chrono::seconds(5);
  double confidence = 0.95;
  uint32_t resamples = 1000;
  uint64_t seed = 1;
};

// Which policy serves a request (split design). Drawn anew for each block, so a
// caller or prompt is not bound to one policy.
PolicySide SideOfRequest(uint64_t request_hash, uint64_t block, uint64_t seed);

// Which policy an engine of half 0 or 1 serves under in a block (split design).
PolicySide SideOfFleetHalf(uint32_t half, uint64_t block, uint64_t seed);

// Which policy is in force in the first or second half of the block's time
// (alternate design).
PolicySide SideOfBlockHalf(bool second_half, uint64_t block, uint64_t seed);

// What callers and jobs received under one policy.
struct SideResult {
  uint64_t online_samples = 0;
  uint64_t batch_items = 0;
  double p50_seconds = 0;  // TTFT
  double p95_seconds = 0;
  double p99_seconds = 0;
  double harm = 0;  // p99 over the baseline's p99; 0 without a baseline
  double batch_items_per_second = 0;
};

// Second over first, with its confidence interval.
struct RatioInterval {
  double ratio = 1;
  double low = 0;
  double high = 0;
};

struct PolicyComparison {
  SideResult first;
  SideResult second;
  uint32_t blocks = 0;  // that hold online or batch samples of both
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
