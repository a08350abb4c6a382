#ifndef KNAPWEEDSTILE_KNAPCTL_COMPARE_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_COMPARE_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl compare`: compares two serving policies on one fleet. The policies
// alternate in time by relabelling the engines, under the same online traffic
// beside batch.
ExitCode RunCompare(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMPARE_COMMAND_H_
