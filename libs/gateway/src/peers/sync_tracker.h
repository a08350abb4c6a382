#ifndef KNAPWEEDSTILE_GATEWAY_SYNC_TRACKER_H_
#define KNAPWEEDSTILE_GATEWAY_SYNC_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"
#include "peers/record_count.h"

namespace knapweedstile::gateway {

// Whether this entry has all records that the others have written, judged by
// the counts that they tell. No network, clock or thread.
//
// Failure guarded against: a record that was pushed to all but this entry, or
// an entry that this one cannot hear. A caller who has read a result elsewhere
// would find nothing here. It shows as a count that stays ahead of what was
// received, or as silence; the store is then asked.
class SyncTracker {
 public:
  // Commands: what was heard of another entry's records.
  // An entry is registered that may not have been heard yet.
  void AddPeer(const std::string& entry, TimePoint now);
  void OnAdvertisedCount(const std::string& entry, uint64_t start,
                         uint64_t count, TimePoint now);
  void OnReceived(const std::string& entry, uint64_t start, uint64_t before,
                  uint64_t count, TimePoint now);
  // A read of the store that began at `began` has ended well: what was counted
  // before then is known.
  void OnStoreRead(TimePoint began, TimePoint now);
  // This process stood still: what it holds for heard just now may be old, so
  // it counts only after the store has been read.
  void OnPaused(TimePoint now);
  // The entry said that it leaves: its silence then hides nothing.
  void RemovePeer(const std::string& entry);

  // Queries. Whether the store must be asked now.
  bool NeedsStoreRead(TimePoint now) const;
  // Whether records that others count have been missing here for so long that
  // nothing should be begun that one of them may forbid.
  bool HasGap(TimePoint now) const;
  // Entries whose records were read from the store lately instead of being
  // pushed: what they may take for known here.
  std::map<std::string, RecordCount> RecentlyRecovered(TimePoint now) const;
  // The entry's records that are known here without a gap.
  uint64_t ReceivedFrom(const std::string& entry) const;
  // Whether the store was read, since the last pause as well, and no gap stays.
  bool IsComplete(TimePoint now) const;
  // Whether every record that another entry may have shown to a caller is known
  // here. False before the first read of the store.
  bool IsCurrent(TimePoint now) const;

  // Command: a caller waits for the answer to Current().
  void OnCallerWaiting(TimePoint now) { caller_waiting_at_ = now; }

 private:
  // When a count above what is known here was first advertised.
  struct PendingCount {
    uint64_t count = 0;
    TimePoint advertised_at{};
  };
  struct Peer {
    uint64_t start = 0;
    uint64_t advertised = 0;  // records it says it has written
    uint64_t received = 0;    // of these, known here
    // Counts above `received`, in order.
    std::deque<PendingCount> pending;
    TimePoint first_seen_at{};  // when this start was first heard of
    TimePoint last_report_at{};

    bool behind() const noexcept { return !pending.empty(); }
    // It has started again: what it wrote last before may be unknown here.
    bool needs_read_after_restart = false;
    TimePoint recovered_at{};  // when a gap was last filled from the store
  };

  static void RaiseAdvertised(Peer& entry, uint64_t count, TimePoint now);
  static void MarkReceived(Peer& entry, uint64_t count);
  static bool IsBehind(const Peer& entry, TimePoint now);
  static bool IsSilent(const Peer& entry, TimePoint now);
  Peer& EnsurePeer(const std::string& entry, uint64_t start, TimePoint now);

  std::map<std::string, Peer> peers_;
  TimePoint read_began_{};
  TimePoint paused_at_{};
  TimePoint caller_waiting_at_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_SYNC_TRACKER_H_
