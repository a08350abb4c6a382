#ifndef KNAPWEEDSTILE_OBJECTS_WORKSPACE_H_
#define KNAPWEEDSTILE_OBJECTS_WORKSPACE_H_

#include "workspaces/workspace.h"

namespace knapweedstile::objects {

using workspaces::Workspace;

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_WORKSPACE_H_
