#ifndef KNAPWEEDSTILE_DECIDE_QUARANTINE_H_
#define KNAPWEEDSTILE_DECIDE_QUARANTINE_H_

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace knapweedstile::decide {

enum class QuarantineStanding { kClear, kSuspect, kQuarantined };

// Which requests, by fingerprint, have crashed backend servers.
//
// Load pattern: one request crashes each server that runs it, and its caller
// sends it again. Without it retries and resends take down the servers of the
// target one after the other.
//
// Rule: whatever was in flight at a server that crashed becomes a suspect. A
// suspect runs only with no other request of this entry on its server, so that
// a second crash speaks against it; then it is quarantined here and, through
// Quarantined(), everywhere. An innocent suspect is cleared by its answer.
// Bound: a fingerprint costs an entry kCrashesToQuarantine servers, plus those
// at which copies of it already ran when its first crash was reported.
//
// Fingerprint zero means unknown and is never suspected.
class Quarantine {
 public:
  // The first crash may have been a neighbour's fault; a second one, alone, is
  // taken as proof. Three would cost every entry one more server.
  static constexpr uint32_t kCrashesToQuarantine = 2;

  // Commands.
  void OnCrash(TimePoint now, uint64_t fingerprint);
  void OnAnswered(uint64_t fingerprint);
  void Learn(uint64_t fingerprint, TimePoint until);

  // Queries.
  QuarantineStanding StandingOf(TimePoint now, uint64_t fingerprint) const;
  // When the quarantine of a fingerprint ends.
  TimePoint Until(uint64_t fingerprint) const;
  // Those found here; nodes that learned of them do not tell them on.
  std::vector<std::pair<uint64_t, TimePoint>> FoundHere() const;

 private:
  struct Record {
    uint32_t crashes = 0;
    TimePoint until;  // forgotten after this
    bool found_here = false;
  };
  void ForgetExpired(TimePoint now);

  std::unordered_map<uint64_t, Record> records_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_QUARANTINE_H_
