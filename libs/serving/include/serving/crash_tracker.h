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

// Counts, by request fingerprint, the attempts that broke the backend server
// that ran them, and quarantines requests that do so repeatedly.
//
// Guards against a request that crashes each server that runs it while its
// caller retries it at any gateway. Without a count over all gateways each of
// them would run it on several servers. One broken attempt proves nothing,
// since a crashing server breaks all requests that it runs; after the third one
// on any gateway the request is rejected for a while. Pure logic: no I/O, no
// clock, no threads; the caller passes the time.
class CrashTracker {
 public:
  // Commands. An attempt of the request ended without a response.
  void OnAttemptBroken(uint64_t fingerprint, TimePoint now);
  // The request got a response: earlier broken attempts were caused by other
  // requests.
  void OnAnswered(uint64_t fingerprint);
  // Replaces the counts reported by a peer with its full report.
  void SetPeerCounts(const std::string& peer,
                     const std::vector<CrashCount>& counts);
  void RemovePeer(const std::string& peer);
  void Expire(TimePoint now);

  // Queries.
  bool IsQuarantined(uint64_t fingerprint) const;
  // Counts of this gateway for its peers, the highest first, at most 32.
  std::vector<CrashCount> OwnCounts() const;

 private:
  struct Record {
    uint32_t breaks = 0;
    TimePoint expires_at;
  };

  std::unordered_map<uint64_t, Record> own_records_;
  std::map<std::string, std::unordered_map<uint64_t, uint32_t>> peer_counts_;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CRASH_TRACKER_H_
