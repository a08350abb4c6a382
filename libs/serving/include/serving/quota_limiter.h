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
  kOverLimit,   // by what is known here already
  kAwaitPeers,  // not before others have heard of the jobs taken before it
};

// Whether a batch job still fits its workspace's limit on waiting tokens, which
// holds over all entries. No network, clock or thread: what is known and the
// time come in.
//
// Load pattern: many jobs that arrive at all entries in the same moment with
// the limit nearly reached, while some entries are slow, paused or cut off.
// Each learns of the others' jobs some milliseconds late, or much later, so by
// what it knows alone each would give away all of what is left: three entries
// that took 30 jobs at once went 22% over a limit of which a tenth is allowed.
//
// So each entry bounds the tokens of its own jobs that another live entry has
// not acknowledged, by its share of kSharedOverage of the limit. Whatever an
// entry does not know of is then in those shares, and the sum stays within the
// limit and that overage however late the others hear. A single job is taken
// whatever the share, or one larger than that would never be.
class QuotaLimiter {
 public:
  // `waiting`: tokens known to wait here, this entry's own jobs included.
  // `entries`: those that accept jobs, this one included.
  QuotaVerdict Check(const QuotaScope& scope, uint64_t waiting, uint64_t tokens,
                     uint64_t limit, size_t entries) const;

  // Whether others have heard of all that was taken.
  bool empty() const noexcept { return unacknowledged_.empty(); }

  // Commands. The job was taken, by Judge's word.
  void Reserve(const std::string& job, const QuotaScope& scope,
               uint64_t tokens);
  // Its record is written, as this entry's `number`th.
  void OnRecordWritten(const std::string& job, uint64_t number);
  // It was not taken in the end.
  void Release(const std::string& job);
  // Whether it was written is not known: it counts until `known_at`, by which
  // all entries have read the store.
  void OnWriteUncertain(const std::string& job, TimePoint known_at);
  // Every live entry has this entry's records up to `number`.
  void OnAcknowledged(uint64_t number, TimePoint now);

 private:
  // Of the allowed tenth; the rest is for entries that join or start again.
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
