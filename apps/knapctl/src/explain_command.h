#ifndef KNAPWEEDSTILE_KNAPCTL_EXPLAIN_COMMAND_H_
#define KNAPWEEDSTILE_KNAPCTL_EXPLAIN_COMMAND_H_

#include "exit_code.h"

namespace knapweedstile::ctl {

struct CommandLine;

// `knapctl explain`: prints the log lines of one request, item or job together
// with state changes of its gateways and backend servers around that time.
ExitCode RunExplain(const CommandLine& line);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_EXPLAIN_COMMAND_H_
