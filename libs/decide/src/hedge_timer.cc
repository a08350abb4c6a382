#include "hedge_timer.h"

#include <algorithm>
#include <cmath>

namespace knapweedstile::decide {
namespace {

// 1 ms to about 3 hours in steps of 22%: finer than any decision made on it.
constexpr double kLeastSeconds = 0.001;
constexpr double kGrowth = 1.22;
// A hedge is due later than this share of the recent answers.
constexpr double kHedgePercentile = 0.95;
// Answers before the percentile means anything: 2.5 beyond it on average.
constexpr uint32_t kLeastAnswers = 50;
// The percentile is computed again after this many answers; once a fifth of
// kLeastAnswers, so the cost (80 additions) is spread thin.
constexpr uint32_t kRefreshEvery = 10;
// Counts are halved beyond this, so that the last thousand answers or so count.
constexpr uint32_t kHalveAt = 1024;

size_t BucketOf(Duration after, size_t buckets) {
  const double ratio = ToSeconds(after) / kLeastSeconds;
  if (ratio <= 1) return 0;
  const double index = std::ceil(std::log(ratio) / std::log(kGrowth));
  return std::min(static_cast<size_t>(index), buckets - 1);
}

}  // namespace

void HedgeTimer::OnFirstOutput(Duration after) {
  ++counts_[BucketOf(after, kBuckets)];
  ++total_;
  if (total_ >= kHalveAt) {
    total_ = 0;
    for (uint32_t& count : counts_) {
      count /= 2;
      total_ += count;
    }
  }
  if (++since_refresh_ < kRefreshEvery && late_ > Duration::zero()) return;
  since_refresh_ = 0;
  late_ = Percentile(kHedgePercentile);
}

std::optional<Duration> HedgeTimer::hedge_after() const noexcept {
  if (total_ < kLeastAnswers) return std::nullopt;
  return late_;
}

Duration HedgeTimer::Percentile(double share) const {
  const double wanted = share * total_;
  double seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += counts_[i];
    if (seen >= wanted) {
      return FromSeconds(kLeastSeconds *
                         std::pow(kGrowth, static_cast<double>(i)));
    }
  }
  return FromSeconds(kLeastSeconds * std::pow(kGrowth, kBuckets));
}

}  // namespace knapweedstile::decide
