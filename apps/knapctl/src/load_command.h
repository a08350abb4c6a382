#ifndef KNAPWEEDSTILE_KNAPCTL_LOAD_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_LOAD_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `load`: open-loop online traffic, with batch jobs beside it when asked.
ExitCode RunLoad(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_LOAD_COMMAND_H_
