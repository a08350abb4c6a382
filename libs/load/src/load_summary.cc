#include "load/load_summary.h"

#include <algorithm>
#include <cmath>

namespace knapweedstile::load {
namespace {

double QuantileOf(const std::vector<double>& sorted, double quantile) {
  const auto rank = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::max<size_t>(rank, 1) - 1];
}

}  // namespace

Quantiles ComputeQuantiles(std::vector<double> seconds) {
  if (seconds.empty()) return {};
  std::sort(seconds.begin(), seconds.end());
  return {QuantileOf(seconds, 0.50), QuantileOf(seconds, 0.95),
          QuantileOf(seconds, 0.99), seconds.back()};
}

LoadSummary Summarize(const std::vector<CallOutcome>& outcomes) {
  LoadSummary summary;
  std::vector<double> first_token;
  std::vector<double> complete;
  std::vector<double> rejected;
  Duration last{};
  for (const CallOutcome& outcome : outcomes) {
    ++summary.calls;
    ++summary.calls_by_result[static_cast<size_t>(outcome.result)];
    summary.tokens += outcome.tokens;
    last = std::max(last, outcome.planned_at + outcome.ended_after);
    if (outcome.result == CallResult::kComplete) {
      if (outcome.streamed) {
        first_token.push_back(ToSeconds(outcome.first_token_after));
      }
      complete.push_back(ToSeconds(outcome.ended_after));
    } else if (outcome.result == CallResult::kRejected) {
      rejected.push_back(ToSeconds(outcome.ended_after));
    }
  }
  summary.seconds = ToSeconds(last);
  summary.time_to_first_token = ComputeQuantiles(std::move(first_token));
  summary.complete_response = ComputeQuantiles(std::move(complete));
  summary.time_to_rejection = ComputeQuantiles(std::move(rejected));
  return summary;
}

}  // namespace knapweedstile::load
