#ifndef KNAPWEEDSTILE_KNAPCTL_LOAD_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_LOAD_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl load`: sends open-loop online traffic, optionally beside a batch
// job.
ExitCode RunLoad(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_LOAD_COMMAND_H_
