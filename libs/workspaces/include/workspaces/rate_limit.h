#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_LIMIT_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_LIMIT_H_

namespace knapweedstile::workspaces {

// How many requests of a workspace are admitted over all entries.
struct RateLimit {
  double per_second = 0;  // zero: no limit
  double burst = 0;       // requests beyond the rate at once

  bool limited() const noexcept { return per_second > 0; }
  // Most requests in any span of so many seconds.
  double MaxRequestsIn(double seconds) const noexcept {
    return per_second * seconds + burst;
  }
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_LIMIT_H_
