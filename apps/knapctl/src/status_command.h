#ifndef KNAPWEEDSTILE_KNAPCTL_STATUS_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_STATUS_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl status`: shows the active configuration of each process, the backend
// servers with their policies, and the rejected objects.
ExitCode RunStatus(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_STATUS_COMMAND_H_
