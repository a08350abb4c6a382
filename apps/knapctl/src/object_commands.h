#ifndef KNAPWEEDSTILE_KNAPCTL_OBJECT_COMMANDS_H_
#define KNAPWEEDSTILE_KNAPCTL_OBJECT_COMMANDS_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl apply|get|label|delete`: each reads the arguments after its name.
ExitCode RunApply(const CommandLine& line);
ExitCode RunGet(const CommandLine& line);
ExitCode RunLabel(const CommandLine& line);
ExitCode RunDelete(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_OBJECT_COMMANDS_H_
