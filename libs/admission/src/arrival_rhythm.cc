#include "admission/arrival_rhythm.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace knapweedstile::admission {
namespace {

// In spans.
constexpr int64_t kShortestPeriod = 15;
constexpr int64_t kLongestPeriod = 150;
constexpr int64_t kRelearnEvery = 10;
constexpr int64_t kSmoothing = 2;
constexpr int64_t kLevelWidth = 3;
// A period must have been seen this many times.
constexpr int64_t kPeriodsSeen = 2;
constexpr double kMinCorrelation = 0.35;
// A multiple of the period correlates as well; the shortest is taken.
constexpr double kShareOfBest = 0.85;
constexpr double kMaxLevel = 4.0;

// Mean of the products of `values` with themselves `lag` later.
double Covariance(const std::vector<double>& values, size_t lag) {
  double sum = 0;
  for (size_t i = lag; i < values.size(); ++i)
    sum += values[i] * values[i - lag];
  return sum / static_cast<double>(values.size() - lag);
}

}  // namespace

void ArrivalRhythm::AdvanceTo(int64_t span) {
  if (first_ == 0 || span - last_ >= kSpans) {
    counts_.fill(0);
    first_ = last_ = span;
    level_at_ = 0;
    period_ = 0;
  }
  while (last_ < span) counts_[++last_ % kSpans] = 0;
  first_ = std::max(first_, last_ - kSpans + 1);
}

uint32_t ArrivalRhythm::CountIn(int64_t span) const {
  return span < first_ || span > last_ ? 0 : counts_[span % kSpans];
}

void ArrivalRhythm::OnArrival(TimePoint now) {
  AdvanceTo(SpanOf(now));
  ++counts_[last_ % kSpans];
}

double ArrivalRhythm::Smoothed(int64_t span, int64_t half_width) const {
  double sum = 0;
  int64_t known = 0;
  for (int64_t s = span - half_width; s <= span + half_width; ++s) {
    if (s < first_ || s >= last_) continue;
    sum += CountIn(s);
    ++known;
  }
  return known == 0 ? 0 : sum / static_cast<double>(known);
}

void ArrivalRhythm::Learn() {
  learned_at_ = last_;
  level_at_ = 0;
  period_ = 0;
  std::vector<double> values;
  double mean = 0;
  for (int64_t span = first_; span < last_; ++span) {
    values.push_back(std::log(0.5 + Smoothed(span, kSmoothing)));
    mean += values.back();
  }
  const auto known = static_cast<int64_t>(values.size());
  if (known < kPeriodsSeen * kShortestPeriod) return;
  mean /= static_cast<double>(known);
  for (double& value : values) value -= mean;
  const double variance = Covariance(values, 0);
  const int64_t longest = std::min(kLongestPeriod, known / kPeriodsSeen);
  std::vector<double> correlation(longest + 1, -1);
  double best = 0;
  // Neighbouring spans resemble each other in any traffic: only what lies
  // beyond the first distance without resemblance is a period.
  bool apart = false;
  for (int64_t lag = 1; lag <= longest && variance > 0; ++lag) {
    const double value = Covariance(values, lag) / variance;
    apart = apart || value < 0;
    if (!apart || lag < kShortestPeriod) continue;
    correlation[lag] = value;
    best = std::max(best, value);
  }
  if (best < kMinCorrelation) return;
  for (int64_t lag = kShortestPeriod; lag < longest; ++lag) {
    const bool peak = correlation[lag] >= correlation[lag - 1] &&
                      correlation[lag] >= correlation[lag + 1];
    if (!peak || correlation[lag] < kShareOfBest * best) continue;
    period_ = lag;
    return;
  }
}

std::optional<Duration> ArrivalRhythm::Period(TimePoint now) {
  if (first_ == 0) return std::nullopt;
  AdvanceTo(SpanOf(now));
  if (last_ - learned_at_ >= kRelearnEvery) Learn();
  if (period_ == 0) return std::nullopt;
  return kSpan * period_;
}

double ArrivalRhythm::Profile(int64_t span, int64_t span_now) const {
  double sum = 0;
  int periods = 0;
  for (int64_t s = span; s - kLevelWidth >= first_; s -= period_) {
    if (s + 1 >= span_now) continue;
    sum += Smoothed(s, 1);
    ++periods;
  }
  return periods == 0 ? 0 : sum / periods;
}

double ArrivalRhythm::Level() {
  if (level_at_ == last_) return level_;
  double usual = 0;
  double lately = 0;
  for (int64_t s = last_ - kLevelWidth; s < last_; ++s) {
    usual += Profile(s, last_ - kLevelWidth);
    lately += CountIn(s);
  }
  level_ = usual > 0 ? std::clamp(lately / usual, 1.0, kMaxLevel) : 1.0;
  level_at_ = last_;
  return level_;
}

std::optional<double> ArrivalRhythm::Expected(TimePoint at, TimePoint now) {
  if (!Period(now)) return std::nullopt;
  return Level() * Profile(SpanOf(at), last_);
}

}  // namespace knapweedstile::admission
