#ifndef KNAPWEEDSTILE_JOBS_SHARD_LEASE_H_
#define KNAPWEEDSTILE_JOBS_SHARD_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/backoff.h"
#include "jobs/head_write.h"
#include "jobs/lease_event.h"
#include "jobs/lease_settings.h"
#include "platform/store_answer.h"

namespace knapweedstile::jobs {

class CallQueue;

// The lease on one shard and the writing of its head, over the platform's
// conditional updates. Without network, clock or thread.
//
// Failures guarded against:
// - Two processes believe that they hold the shard (one was paused past its
//   lease): every commit is conditional on the version of the holder's own last
//   write, and a takeover moves the version on, so the old holder's next write
//   conflicts and nothing of it counts.
// - A paused holder goes on handing out work: it counts its lease on its own
//   monotonic clock from before the renewal was sent, so it stops before any
//   candidate, which counts from after it saw the write, may take over.
// - An answer is lost after the write took effect: the object is read back, and
//   the writer token in it tells whose write it is. Until that is known the
//   same write is sent again, never another, so a write that is still on its
//   way cannot surprise a later one.
class ShardLease {
 public:
  // `incarnation` differs after each start of the process.
  ShardLease(const LeaseSettings& settings, uint32_t shard, std::string holder,
             uint64_t incarnation, uint64_t seed);

  // Whether this process shall take the lease when it is free.
  void SetCandidate(bool candidate, TimePoint now);
  void Tick(TimePoint now, CallQueue& calls);
  // False when the answer is not to one of its calls.
  bool OnAnswer(const platform::StoreAnswer& answer, TimePoint now,
                CallQueue& calls);
  // Commits `head` and renews the lease with it; only while CanWrite(). The
  // lease's own fields are filled in here.
  void Write(ShardHead head, TimePoint now, CallQueue& calls);
  // As Write(), and gives the lease up with it.
  void Release(ShardHead head, TimePoint now, CallQueue& calls);
  // Stops holding without a word to the platform; the lease lapses by itself.
  void Abandon(TimePoint now) { Lose(now); }
  std::vector<LeaseEvent> TakeEvents();

  bool held() const noexcept { return state_ == State::kHeld; }
  // The holder may act: its lease has not lapsed by its own clock.
  bool Valid(TimePoint now) const noexcept;
  bool CanWrite() const noexcept { return held() && !write_; }
  bool RenewalDue(TimePoint now) const noexcept {
    return held() && now >= renew_at_;
  }
  uint64_t fence() const noexcept { return lease_.fence; }
  // The holder last seen, also while it is another process.
  const std::string& seen_holder() const noexcept { return seen_holder_; }
  uint64_t seen_fence() const noexcept { return seen_fence_; }
  size_t head_bytes() const noexcept { return head_bytes_; }
  TimePoint next_wakeup() const noexcept;

 private:
  enum class State { kCandidate, kHeld };
  using Phase = HeadWrite::Phase;

  void Poll(TimePoint now, CallQueue& calls);
  void OnPolled(const platform::StoreAnswer& answer, TimePoint now,
                CallQueue& calls);
  void Observe(uint64_t version, const LeaseRecord& lease, TimePoint now);
  bool Free(const LeaseRecord& lease, TimePoint now) const;
  void TakeOver(ShardHead head, uint64_t version, TimePoint now,
                CallQueue& calls);
  void Begin(ShardHead head, uint64_t if_version, TimePoint now,
             CallQueue& calls);
  void SendWrite(TimePoint now, CallQueue& calls);
  void SendReadBack(TimePoint now, CallQueue& calls);
  void RetryLater(const platform::StoreAnswer& answer, bool read,
                  TimePoint now);
  void OnWritten(const platform::StoreAnswer& answer, TimePoint now,
                 CallQueue& calls);
  void OnReadBack(const platform::StoreAnswer& answer, TimePoint now);
  void OnConflict(const platform::StoreAnswer& answer, TimePoint now,
                  CallQueue& calls);
  void Settle(uint64_t version, TimePoint counted_from);
  void Lose(TimePoint now);

  LeaseSettings settings_;
  uint32_t shard_;
  std::string name_;
  LeaseRecord lease_;  // of this process
  Backoff backoff_;
  State state_ = State::kCandidate;
  bool candidate_ = false;
  TimePoint poll_at_ = kNever;
  uint64_t token_ = 0;  // of the one call in flight
  // Candidate: the version seen last and since when it stands unchanged.
  std::optional<uint64_t> seen_version_;
  TimePoint seen_since_;
  std::string seen_holder_;
  uint64_t seen_fence_ = 0;
  // Holder.
  uint64_t version_ = 0;
  TimePoint valid_until_;
  TimePoint renew_at_ = kNever;
  uint64_t writes_ = 0;
  size_t head_bytes_ = 0;
  std::optional<HeadWrite> write_;
  std::vector<LeaseEvent> events_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_SHARD_LEASE_H_
