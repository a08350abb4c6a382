#ifndef KNAPWEEDSTILE_GATEWAY_SYNC_TRACKER_H_
#define KNAPWEEDSTILE_GATEWAY_SYNC_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"
#include "peers/record_count.h"

namespace knapweedstile::gateway {

// Tracks whether this gateway has received all records that its peers have
// written, based on the counts that they advertise. Pure logic: no I/O, no
// clock, no threads; the caller passes the time.
//
// Guards against a record that was pushed to all gateways but this one, and
// against a peer that this gateway cannot reach. A caller who has read a result
// on a peer would not find it here. Either shows as an advertised count that
// stays ahead of the received one, or as missing reports; the store is then
// read.
class SyncTracker {
 public:
  // Commands.
  //
  // Adds a registered peer, from which no report may have been received yet.
  void AddPeer(const std::string& name, TimePoint now);
  void OnAdvertisedCount(const std::string& name, uint64_t start,
                         uint64_t count, TimePoint now);
  void OnReceived(const std::string& name, uint64_t start, uint64_t before,
                  uint64_t count, TimePoint now);
  // A store read that began at `began` has succeeded; records advertised before
  // then have been received.
  void OnStoreRead(TimePoint began, TimePoint now);
  // This process was paused. Reports that appear recent may be old, so they
  // count only after the store has been read.
  void OnPaused(TimePoint now);
  // This gateway holds jobs from now on that it has not followed: it knows
  // their records after a read of the store.
  void OnJobsAdded(TimePoint now) { OnPaused(now); }
  // The peer announced its shutdown, so its missing reports hide no records.
  void RemovePeer(const std::string& name);

  // Queries.
  //
  // Whether the store must be read now.
  bool NeedsStoreRead(TimePoint now) const;
  // Whether advertised records have been missing for longer than kMaxGap. Batch
  // items should not start then: a missing record may be the end of a job or
  // the result of an item.
  bool HasGap(TimePoint now) const;
  // Peers whose records were recently read from the store instead of being
  // pushed, and how many of their records this gateway now has. Reported to the
  // peers as an acknowledgement.
  std::map<std::string, RecordCount> RecentlyRecovered(TimePoint now) const;
  // Whether records that peers have written and advertise, or may have written
  // while they are silent, are missing here or were until a moment ago. A read
  // of the store then brings records that are no news to other gateways.
  bool MissesPushes(TimePoint now) const;
  // Number of the peer's records that were received without a gap.
  uint64_t ReceivedFrom(const std::string& name) const;
  // Whether the store has been read since the start and the last pause, and no
  // gap remains.
  bool IsComplete(TimePoint now) const;
  // Whether this gateway has received every record that a peer may have shown
  // to a caller. False before the first store read.
  bool IsCurrent(TimePoint now) const;

  // Command: a caller waits for a response that depends on IsCurrent().
  void OnCallerWaiting(TimePoint now) { caller_waiting_at_ = now; }

 private:
  // An advertised count above the received one, and when it was first
  // advertised.
  struct PendingCount {
    uint64_t count = 0;
    TimePoint advertised_at{};
  };
  struct Peer {
    uint64_t start = 0;
    uint64_t advertised = 0;  // records it reports to have written
    uint64_t received = 0;    // of these, received here without a gap
    // Counts above `received`, in ascending order.
    std::deque<PendingCount> pending;
    TimePoint first_seen_at{};  // when this start was first seen
    TimePoint last_report_at{};

    bool has_pending() const noexcept { return !pending.empty(); }
    // The peer was restarted, and the last records of its previous process may
    // be missing here.
    bool needs_read_after_restart = false;
    TimePoint recovered_at{};  // when a gap was last filled from the store
  };

  static void RaiseAdvertised(Peer& peer, uint64_t count, TimePoint now);
  static void MarkReceived(Peer& peer, uint64_t count);
  // Whether records of the peer have been missing for longer than a push takes,
  // or may be missing after its restart.
  static bool IsOverdue(const Peer& peer, TimePoint now);
  static bool IsSilent(const Peer& peer, TimePoint now);
  Peer& EnsurePeer(const std::string& name, uint64_t start, TimePoint now);

  std::map<std::string, Peer> peers_;
  TimePoint read_began_{};
  TimePoint paused_at_{};
  TimePoint caller_waiting_at_{};
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_SYNC_TRACKER_H_
