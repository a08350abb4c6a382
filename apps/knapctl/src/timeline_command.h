#ifndef KNAPWEEDSTILE_KNAPCTL_TIMELINE_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_TIMELINE_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl timeline`: merges the timelines of all --admin addresses.
ExitCode RunTimeline(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_TIMELINE_COMMAND_H_
