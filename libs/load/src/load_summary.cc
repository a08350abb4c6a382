#include "load/load_summary.h"

#include <algorithm>
#include <cmath>

namespace knapweedstile::load {
namespace {

double At(const std::vector<double>& sorted, double quantile) {
  const auto rank = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::max<size_t>(rank, 1) - 1];
}

}  // namespace

Quantiles QuantilesOf(std::vector<double> seconds) {
  if (seconds.empty()) return {};
  std::sort(seconds.begin(), seconds.end());
  return {At(seconds, 0.50), At(seconds, 0.95), At(seconds, 0.99),
          seconds.back()};
}

LoadSummary Summarize(const std::vector<CallOutcome>& outcomes) {
  LoadSummary summary;
  std::vector<double> first_token;
  std::vector<double> whole;
  std::vector<double> refused;
  Duration last{};
  for (const CallOutcome& outcome : outcomes) {
    ++summary.calls;
    ++summary.ends[static_cast<size_t>(outcome.end)];
    summary.tokens += outcome.tokens;
    last = std::max(last, outcome.planned_at + outcome.ended_after);
    if (outcome.end == CallEnd::kWhole) {
      if (outcome.streamed) {
        first_token.push_back(ToSeconds(outcome.first_token_after));
      }
      whole.push_back(ToSeconds(outcome.ended_after));
    } else if (outcome.end == CallEnd::kRefused) {
      refused.push_back(ToSeconds(outcome.ended_after));
    }
  }
  summary.seconds = ToSeconds(last);
  summary.first_token = QuantilesOf(std::move(first_token));
  summary.whole_answer = QuantilesOf(std::move(whole));
  summary.refused_after = QuantilesOf(std::move(refused));
  return summary;
}

}  // namespace knapweedstile::load
