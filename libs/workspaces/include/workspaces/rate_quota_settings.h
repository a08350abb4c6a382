#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_SETTINGS_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_SETTINGS_H_

#include <chrono>

namespace knapweedstile::workspaces {

// How precisely the rate limits of workspaces are enforced.
struct RateQuotaSettings {
  // The limit applies to each span of this length.
  std::chrono::milliseconds window{5000};
  // How far all gateways together may exceed the limit: by a share of it, plus
  // a number of requests.
  double overage_share = 0.1;
  double slack_requests = 20;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_SETTINGS_H_
