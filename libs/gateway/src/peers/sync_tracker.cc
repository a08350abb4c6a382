#include "peers/sync_tracker.h"

#include <algorithm>

namespace knapweedstile::gateway {
namespace {

// A push arrives within milliseconds of the count. A result may be read on a
// peer immediately after it was written, and must be visible here within a
// second of that.
constexpr std::chrono::milliseconds kPushDelay{120};
// Peers advertise their counts every quarter of a second. Two lost datagrams
// are no reason to read the store; more may hide records.
constexpr std::chrono::milliseconds kSilenceThreshold{600};
// A peer that is silent for longer is considered terminated; the load balancer
// has sent its callers to other gateways.
constexpr std::chrono::seconds kMaxSilence{15};
// A gap is filled from the store within some ten milliseconds after kPushDelay.
// A job's end must stop its items within three seconds of its acknowledgement.
constexpr std::chrono::milliseconds kMaxGap{500};
// How long RecentlyRecovered() includes a peer: eight full state messages, so
// that losing some of them does not matter.
constexpr std::chrono::milliseconds kRecoveredReportPeriod{2000};
// Pending counts kept per peer while it is ahead; covers some seconds.
constexpr size_t kMaxPendingCounts = 64;
// Minimum interval between store reads for missing records.
constexpr std::chrono::milliseconds kReadInterval{250};
// A result must be visible on all gateways within a second of its first read.
constexpr std::chrono::milliseconds kReadLifetime{700};
// Read interval while a peer is silent and callers wait. A read must end before
// the previous one exceeds its lifetime, even with a slow store, which takes
// 0.25 s.
constexpr std::chrono::milliseconds kSilentPeerReadInterval{450};
// Read interval while no caller waits. Such reads only find ended jobs, whose
// items must stop within three seconds, and jobs of a terminated peer.
constexpr std::chrono::milliseconds kIdleReadInterval{1500};
// Longer than the polling interval of callers, who read about twice a second.
constexpr std::chrono::milliseconds kCallerWaitWindow{1200};

}  // namespace

SyncTracker::Peer& SyncTracker::EnsurePeer(const std::string& name,
                                           uint64_t start, TimePoint now) {
  Peer& peer = peers_[name];
  if (peer.start == start) return peer;
  const bool restarted = peer.start != 0;
  peer = {.start = start,
          .first_seen_at = now,
          .needs_read_after_restart = restarted};
  return peer;
}

void SyncTracker::RaiseAdvertised(Peer& peer, uint64_t count, TimePoint now) {
  if (count <= peer.advertised) return;
  peer.advertised = count;
  // The oldest counts are kept: they show since when records are missing.
  if (peer.pending.size() >= kMaxPendingCounts) peer.pending.pop_back();
  peer.pending.push_back({count, now});
}

void SyncTracker::MarkReceived(Peer& peer, uint64_t count) {
  peer.received = std::max(peer.received, count);
  while (peer.has_pending() && peer.pending.front().count <= peer.received) {
    peer.pending.pop_front();
  }
}

void SyncTracker::AddPeer(const std::string& name, TimePoint now) {
  peers_.try_emplace(name, Peer{.last_report_at = now});
}

void SyncTracker::OnAdvertisedCount(const std::string& name, uint64_t start,
                                    uint64_t count, TimePoint now) {
  Peer& peer = EnsurePeer(name, start, now);
  peer.last_report_at = now;
  RaiseAdvertised(peer, count, now);
}

void SyncTracker::OnReceived(const std::string& name, uint64_t start,
                             uint64_t before, uint64_t count, TimePoint now) {
  Peer& peer = EnsurePeer(name, start, now);
  peer.last_report_at = now;
  RaiseAdvertised(peer, count, now);
  // Records received after a gap do not fill it.
  if (peer.received >= before) MarkReceived(peer, count);
}

// Marks only the counts that were advertised before the read began: the read
// may lack later records. Guards against a peer that writes several records a
// second and so advertises a new count during each read. If its counts were
// marked all together, only when none is newer than the read, this gateway
// would stay behind permanently and start no items, although each read brings
// the records that were missing.
void SyncTracker::OnStoreRead(TimePoint began, TimePoint now) {
  read_began_ = std::max(read_began_, began);
  for (auto& [name, peer] : peers_) {
    uint64_t received = peer.received;
    for (const PendingCount& pending : peer.pending) {
      if (pending.advertised_at <= began) received = pending.count;
    }
    if (received > peer.received) peer.recovered_at = now;
    MarkReceived(peer, received);
    if (peer.first_seen_at <= began) peer.needs_read_after_restart = false;
  }
}

void SyncTracker::OnPaused(TimePoint now) { paused_at_ = now; }

std::map<std::string, RecordCount> SyncTracker::RecentlyRecovered(
    TimePoint now) const {
  std::map<std::string, RecordCount> recovered;
  for (const auto& [name, peer] : peers_) {
    if (peer.recovered_at == TimePoint{}) continue;
    if (now - peer.recovered_at > kRecoveredReportPeriod) continue;
    recovered[name] = {peer.start, peer.received};
  }
  return recovered;
}

void SyncTracker::RemovePeer(const std::string& name) { peers_.erase(name); }

bool SyncTracker::IsOverdue(const Peer& peer, TimePoint now) {
  if (peer.needs_read_after_restart && now - peer.first_seen_at >= kPushDelay)
    return true;
  return peer.has_pending() &&
         now - peer.pending.front().advertised_at >= kPushDelay;
}

bool SyncTracker::IsSilent(const Peer& peer, TimePoint now) {
  const Duration silence = now - peer.last_report_at;
  return silence >= kSilenceThreshold && silence < kMaxSilence;
}

bool SyncTracker::NeedsStoreRead(TimePoint now) const {
  if (read_began_ < paused_at_) return true;
  const Duration since_read = now - read_began_;
  const bool caller_waiting = now - caller_waiting_at_ < kCallerWaitWindow;
  const auto silent_interval =
      caller_waiting ? kSilentPeerReadInterval : kIdleReadInterval;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& e) {
    return (since_read >= kReadInterval && IsOverdue(e.second, now)) ||
           (since_read >= silent_interval && IsSilent(e.second, now));
  });
}

bool SyncTracker::HasGap(TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& e) {
    return e.second.has_pending() &&
           now - e.second.pending.front().advertised_at >= kMaxGap;
  });
}

bool SyncTracker::MissesPushes(TimePoint now) const {
  if (read_began_ == TimePoint{} || read_began_ < paused_at_) return true;
  if (!RecentlyRecovered(now).empty()) return true;
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& e) {
    return IsSilent(e.second, now) ||
           (e.second.has_pending() &&
            now - e.second.pending.front().advertised_at >= kPushDelay);
  });
}

uint64_t SyncTracker::ReceivedFrom(const std::string& name) const {
  const auto peer = peers_.find(name);
  return peer == peers_.end() ? 0 : peer->second.received;
}

bool SyncTracker::IsComplete(TimePoint now) const {
  const bool read = read_began_ != TimePoint{} && read_began_ >= paused_at_;
  return read && !HasGap(now);
}

bool SyncTracker::IsCurrent(TimePoint now) const {
  if (read_began_ == TimePoint{} || read_began_ < paused_at_) return false;
  // A silent peer may commit at any time, so only a recent read covers its
  // records. A peer that is behind is covered by the next read.
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& e) {
    const Peer& peer = e.second;
    return IsOverdue(peer, now) ||
           (IsSilent(peer, now) && now - read_began_ > kReadLifetime);
  });
}

}  // namespace knapweedstile::gateway
