#ifndef KNAPWEEDSTILE_SERVING_QUOTA_SCOPE_H_
#define KNAPWEEDSTILE_SERVING_QUOTA_SCOPE_H_

#include <string>

namespace knapweedstile::serving {

// Scope of a limit on waiting tokens: one workspace on one route.
struct QuotaScope {
  std::string route;
  std::string workspace;  // empty: jobs of no workspace

  bool operator==(const QuotaScope&) const = default;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_QUOTA_SCOPE_H_
