#ifndef KNAPWEEDSTILE_KNAPCTL_JOB_COMMANDS_H_
#define KNAPWEEDSTILE_KNAPCTL_JOB_COMMANDS_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl job submit|status|results|cancel`.
ExitCode RunJob(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_JOB_COMMANDS_H_
