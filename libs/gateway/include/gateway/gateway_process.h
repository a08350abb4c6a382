#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_PROCESS_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_PROCESS_H_

#include "gateway/gateway_settings.h"

namespace knapweedstile::gateway {

// Runs a gateway, which sends callers' requests directly to the backend servers
// and runs batch jobs from the platform's store. Returns the process exit code
// after a signal to stop, or at once if the gateway cannot start.
int RunGateway(const GatewaySettings& settings);

// Runs the process on a VM with a disk. The system stores nothing there, so it
// only reports the VM as empty when the operators want to remove it. Returns
// the process exit code after a signal to stop.
int RunStore(const GatewaySettings& settings);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_PROCESS_H_
