#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_LIMIT_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_LIMIT_H_

namespace knapweedstile::workspaces {

// How many requests of a workspace all gateways together admit.
struct RateLimit {
  double per_second = 0;  // zero: no limit
  double burst = 0;       // requests beyond the rate, at once

  bool limited() const noexcept { return per_second > 0; }
  // The most requests in any span of this length.
  double MaxRequestsIn(double seconds) const noexcept {
    return per_second * seconds + burst;
  }
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_LIMIT_H_
