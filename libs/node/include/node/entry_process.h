#ifndef KNAPWEEDSTILE_NODE_ENTRY_PROCESS_H_
#define KNAPWEEDSTILE_NODE_ENTRY_PROCESS_H_

#include "node/entry_node_settings.h"

namespace knapweedstile::node {

// Runs an entry until SIGTERM or SIGINT and its graceful shutdown. Prints one
// key=value line with its addresses to standard output once it listens.
// Returns the process's exit code.
int RunEntry(const EntryNodeSettings& settings);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ENTRY_PROCESS_H_
