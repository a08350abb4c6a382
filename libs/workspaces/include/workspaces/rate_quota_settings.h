#ifndef KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_SETTINGS_H_
#define KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_SETTINGS_H_

#include <chrono>

namespace knapweedstile::workspaces {

// How closely the rates of workspaces are kept to.
struct RateQuotaSettings {
  // The limit holds in each span of this length.
  std::chrono::milliseconds window{5000};
  // What all entries together may admit beyond it: a share of the limit, and
  // requests.
  double overage_share = 0.1;
  double slack_requests = 20;
};

}  // namespace knapweedstile::workspaces

#endif  // KNAPWEEDSTILE_WORKSPACES_RATE_QUOTA_SETTINGS_H_
