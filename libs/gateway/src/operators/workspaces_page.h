#ifndef KNAPWEEDSTILE_GATEWAY_WORKSPACES_PAGE_H_
#define KNAPWEEDSTILE_GATEWAY_WORKSPACES_PAGE_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace knapweedstile::workspaces {
class WorkspaceDirectory;
class RateQuota;
}  // namespace knapweedstile::workspaces

namespace knapweedstile::gateway {

// The workspaces in effect on this gateway as JSON, for `knapctl workspaces`:
// names, limits, usage and the number of keys. Lists at most a thousand, the
// most used first; `more` says whether there are others.
std::string RenderWorkspaces(const std::string& node, uint64_t configuration,
                             const workspaces::WorkspaceDirectory& workspaces,
                             const workspaces::RateQuota& rate, TimePoint now);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_WORKSPACES_PAGE_H_
