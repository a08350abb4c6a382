#ifndef KNAPWEEDSTILE_KNAPCTL_TIMELINE_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_TIMELINE_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `timeline`: merges the time lines of every --admin address.
ExitCode RunTimeline(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_TIMELINE_COMMAND_H_
