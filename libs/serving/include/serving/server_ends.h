#ifndef KNAPWEEDSTILE_SERVING_SERVER_ENDS_H_
#define KNAPWEEDSTILE_SERVING_SERVER_ENDS_H_

#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "serving/server_end.h"

namespace knapweedstile::serving {

// The server processes that have ended lately, as seen by all gateways. Pure
// logic: no I/O, no clock, no threads; the caller passes the time.
class ServerEnds {
 public:
  // Processes that are ended together are seen to end within this time.
  static constexpr std::chrono::milliseconds kMoment{200};

  // Commands.
  // `own`: observed by this gateway.
  void Add(const ServerEnd& end, bool own);
  // The process has responded to a request sent at that time: it did not end
  // before.
  void OnResponded(ServerProcessId process, TimePoint sent_at);
  void RemoveUntil(TimePoint time);

  // Queries.
  // Processes that ended at the same moment.
  std::set<ServerProcessId> Around(TimePoint at) const;
  std::set<ServerProcessId> Processes() const;
  // For the peers, the newest first.
  std::vector<ServerEnd> Report() const;

 private:
  struct Entry {
    ServerProcessId process;
    bool own = false;
  };
  std::multimap<TimePoint, Entry> entries_;  // by the time of the end
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_SERVER_ENDS_H_
