#ifndef KNAPWEEDSTILE_SERVING_QUOTA_LIMITER_H_
#define KNAPWEEDSTILE_SERVING_QUOTA_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "serving/quota_scope.h"

namespace knapweedstile::serving {

enum class QuotaVerdict {
  kAccept,
  kOverLimit,   // by the jobs known to this gateway
  kAwaitPeers,  // not decided: depends on what peers report; check again
};

// Decides whether a batch job fits its workspace's limit on waiting tokens,
// which holds over all gateways. Pure logic: no I/O, no clock, no threads; the
// caller passes the time.
//
// Guards against gateways that each spend the whole remaining quota: many jobs
// arrive at all gateways at the same moment with the limit nearly reached,
// while some gateways are slow, paused or partitioned from the others. Each
// receives the jobs of its peers some milliseconds late, or much later. The
// limit may be exceeded by a tenth at most; with local knowledge only, three
// gateways that accepted 30 jobs simultaneously exceeded it by 22%.
//
// Therefore each gateway bounds the tokens of its own jobs that some reachable
// peer has not acknowledged, by its share of kSharedOverage of the limit.
// Whatever a gateway does not know about is within those shares, so the sum
// stays within the limit plus that overage however late reports arrive. A job
// is accepted regardless of the share while no other is unacknowledged; a job
// larger than the share could never run otherwise.
class QuotaLimiter {
 public:
  // `waiting_tokens`: those known to this gateway, its own jobs included.
  // `gateways`: gateways that accept jobs, this one included.
  QuotaVerdict Check(const QuotaScope& scope, uint64_t waiting_tokens,
                     uint64_t tokens, uint64_t limit, size_t gateways) const;

  // Whether peers have acknowledged all accepted jobs.
  bool all_acknowledged() const noexcept { return unacknowledged_.empty(); }

  // Commands. Check() accepted the job.
  void Reserve(const std::string& job, const QuotaScope& scope,
               uint64_t tokens);
  // Its record is written, as record `record_number` of this gateway (counted
  // from 1).
  void OnRecordWritten(const std::string& job, uint64_t record_number);
  // The job was not accepted in the end.
  void Release(const std::string& job);
  // Whether the record was written is unknown: the job counts until
  // `expires_at`, by which time all gateways have read the store.
  void OnWriteUncertain(const std::string& job, TimePoint expires_at);
  // Every reachable peer has the records of this gateway up to `record_number`.
  void OnAcknowledged(uint64_t record_number, TimePoint now);

 private:
  // Part of the limit by which unacknowledged jobs of all gateways together may
  // exceed it. Below the allowed tenth, since gateways that join or restart may
  // add some.
  static constexpr double kSharedOverage = 0.08;

  struct Reservation {
    QuotaScope scope;
    uint64_t tokens = 0;
    uint64_t record_number = 0;  // zero: not written yet
    TimePoint expires_at = kNever;
  };

  std::map<std::string, Reservation> unacknowledged_;  // by job
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_QUOTA_LIMITER_H_
