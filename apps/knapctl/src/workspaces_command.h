#ifndef KNAPWEEDSTILE_KNAPCTL_WORKSPACES_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_WORKSPACES_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl workspaces`: shows limits and usage of each workspace over all
// gateways.
ExitCode RunWorkspaces(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_WORKSPACES_COMMAND_H_
