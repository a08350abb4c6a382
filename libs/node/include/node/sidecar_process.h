#ifndef KNAPWEEDSTILE_NODE_SIDECAR_PROCESS_H_
#define KNAPWEEDSTILE_NODE_SIDECAR_PROCESS_H_

#include "node/sidecar_node_settings.h"

namespace knapweedstile::node {

// Runs a sidecar until SIGTERM or SIGINT and its graceful shutdown. Prints one
// key=value line with its addresses to standard output once it listens.
// Returns the process's exit code.
int RunSidecar(const SidecarNodeSettings& settings);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SIDECAR_PROCESS_H_
