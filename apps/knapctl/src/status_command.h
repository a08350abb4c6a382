#ifndef KNAPWEEDSTILE_KNAPCTL_STATUS_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_STATUS_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `status`: which revision is in force where, who leads which shard, which
// backend servers are in, leaving, silent, down, and what is in quarantine.
ExitCode RunStatus(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_STATUS_COMMAND_H_
