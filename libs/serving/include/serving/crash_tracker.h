#ifndef KNAPWEEDSTILE_SERVING_CRASH_TRACKER_H_
#define KNAPWEEDSTILE_SERVING_CRASH_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "serving/crash_count.h"

namespace knapweedstile::serving {

// Which requests, by fingerprint, broke the servers that began to run them.
//
// Load pattern: one request crashes each server that runs it, and its caller
// sends it again, to any entry. Without a count over all entries each of them
// would offer it several servers. One break is no proof, since a server that
// crashes breaks all that it runs; at the third, anywhere in the fleet, the
// request is turned away for a while. No network, clock or thread.
class CrashTracker {
 public:
  // Commands. An attempt of the request ended without an answer.
  void OnAttemptBroken(uint64_t fingerprint, TimePoint now);
  // The request was answered: its earlier breaks were a neighbour's fault.
  void OnAnswered(uint64_t fingerprint);
  // What another entry has counted, whole.
  void SetPeerCounts(const std::string& entry,
                     const std::vector<CrashCount>& counts);
  void RemovePeer(const std::string& entry);
  void Expire(TimePoint now);

  // Queries.
  bool IsQuarantined(uint64_t fingerprint) const;
  // What this entry has counted, the most broken first, bounded.
  std::vector<CrashCount> OwnCounts() const;

 private:
  struct Record {
    uint32_t breaks = 0;
    TimePoint forget_at;
  };

  std::unordered_map<uint64_t, Record> own_records_;
  std::map<std::string, std::unordered_map<uint64_t, uint32_t>> peer_counts_;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CRASH_TRACKER_H_
