#ifndef KNAPWEEDSTILE_GATEWAY_GATEWAY_PROCESS_H_
#define KNAPWEEDSTILE_GATEWAY_GATEWAY_PROCESS_H_

#include "gateway/gateway_settings.h"

namespace knapweedstile::gateway {

// The entry on the users' platform: callers' requests straight to the backend
// servers, batch jobs from the platform's store. Runs until a signal; the exit
// code.
int RunGateway(const GatewaySettings& settings);

// The process on a VM with a disk. Nothing of the system is kept there, so it
// only reports the VM as empty when the operators want to take it away.
int RunStore(const GatewaySettings& settings);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_GATEWAY_PROCESS_H_
