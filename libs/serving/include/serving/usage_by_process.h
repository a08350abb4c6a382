#ifndef KNAPWEEDSTILE_SERVING_USAGE_BY_PROCESS_H_
#define KNAPWEEDSTILE_SERVING_USAGE_BY_PROCESS_H_

#include <map>

#include "base/hash.h"
#include "base/id.h"
#include "serving/server_record.h"
#include "serving/server_usage.h"

namespace knapweedstile::serving {

// Identifies a backend server's process in messages between gateways. Requests
// that a peer still counts for a previous process must not fill the slots of
// its successor.
using ServerProcessId = Id<struct ServerProcessTag>;

// Outstanding requests by server process; idle processes are left out.
using UsageByProcess = std::map<ServerProcessId, ServerUsage>;

inline ServerProcessId ProcessOf(const ServerRecord& record) {
  return ServerProcessId(Hash64(record.instance, record.start));
}

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_USAGE_BY_PROCESS_H_
