#ifndef KNAPWEEDSTILE_DECIDE_RETRY_BUDGET_H_
#define KNAPWEEDSTILE_DECIDE_RETRY_BUDGET_H_

#include <algorithm>

#include "entry_invariant.h"

namespace knapweedstile::decide {

// What one target's requests may be sent again: a token bucket filled by a
// share of its successes. Retries and hedges draw from the same bucket.
//
// Load pattern: an outage or an overload, in which most attempts fail. Without
// it every failure adds a retry just when there is least capacity, and the
// retries keep the overload going after its cause is gone.
class RetryBudget {
 public:
  // Share of successes that may be added as extra attempts: at 10% the load of
  // the backend servers is at most 1.1 times what the callers ask for.
  static constexpr double kShareOfSuccesses = 0.1;
  // Tokens at the start and at most: lets a target with few requests retry the
  // loss of one backend server's slots. One order of 8 slots; bench/entry_bench
  // (retry storm) prints the extra load that results.
  static constexpr double kMostTokens = 10;

  void OnSuccess() noexcept {
    tokens_ = std::min(kMostTokens, tokens_ + kShareOfSuccesses);
  }
  // Takes a token if that leaves at least `reserve`.
  [[nodiscard]] bool TrySpend(double reserve = 0) {
    if (tokens_ < 1 + reserve) return false;
    tokens_ -= 1;
    RequireInvariant(tokens_ >= 0, "the retry budget is never negative");
    return true;
  }
  double tokens() const noexcept { return tokens_; }

 private:
  double tokens_ = kMostTokens;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_RETRY_BUDGET_H_
