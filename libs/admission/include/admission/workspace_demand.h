#ifndef KNAPWEEDSTILE_ADMISSION_WORKSPACE_DEMAND_H_
#define KNAPWEEDSTILE_ADMISSION_WORKSPACE_DEMAND_H_

#include <cstdint>

namespace knapweedstile::admission {

using ServiceHash = uint64_t;
using WorkspaceHash = uint64_t;

// Stands for the workspaces that a report does not name.
inline constexpr WorkspaceHash kOtherWorkspaces = ~WorkspaceHash{0};

// What a workspace has of a service's slots, as one gateway knows it.
struct WorkspaceDemand {
  ServiceHash service = 0;
  WorkspaceHash workspace = 0;
  uint32_t in_use = 0;
  bool lacks_room = false;  // requests have found no room lately
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_WORKSPACE_DEMAND_H_
