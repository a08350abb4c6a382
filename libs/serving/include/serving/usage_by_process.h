#ifndef KNAPWEEDSTILE_SERVING_USAGE_BY_PROCESS_H_
#define KNAPWEEDSTILE_SERVING_USAGE_BY_PROCESS_H_

#include <map>

#include "base/hash.h"
#include "base/id.h"
#include "serving/server_record.h"
#include "serving/server_usage.h"

namespace knapweedstile::serving {

// What entries call a backend server's process among each other: an entry that
// still counts requests at a former process must not fill the new one's slots.
using ServerProcessId = Id<struct ServerProcessTag>;

// Requests outstanding, by the server's process; idle ones are left out.
using UsageByProcess = std::map<ServerProcessId, ServerUsage>;

inline ServerProcessId ProcessOf(const ServerRecord& record) {
  return ServerProcessId(Hash64(record.instance, record.start));
}

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_USAGE_BY_PROCESS_H_
