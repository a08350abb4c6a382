#ifndef KNAPWEEDSTILE_KNAPCTL_OBJECT_COMMANDS_H_
#define KNAPWEEDSTILE_KNAPCTL_OBJECT_COMMANDS_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// Each takes the words after its own name.
ExitCode RunApply(const CommandLine& line);
ExitCode RunGet(const CommandLine& line);
ExitCode RunLabel(const CommandLine& line);
ExitCode RunDelete(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_OBJECT_COMMANDS_H_
