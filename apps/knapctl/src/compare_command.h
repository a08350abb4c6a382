#ifndef KNAPWEEDSTILE_KNAPCTL_COMPARE_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_COMPARE_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `compare`: two serving policies on one fleet, interleaved in time by
// relabelling its engines, under the same online traffic beside batch.
ExitCode RunCompare(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMPARE_COMMAND_H_
