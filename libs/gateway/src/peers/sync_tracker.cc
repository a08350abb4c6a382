#include "peers/sync_tracker.h"

#include <algorithm>

namespace knapweedstile::gateway {
namespace {

// A push arrives within milliseconds of the count; a result may have been read
// elsewhere a moment after it was written and must be seen here within a
// second of that.
constexpr std::chrono::milliseconds kPushTime{120};
// Entries tell their counts every quarter of a second; two lost datagrams are
// no reason to ask the store, more may hide records.
constexpr std::chrono::milliseconds kSilence{600};
// An entry that is silent for longer is taken for gone: callers have left it.
constexpr std::chrono::seconds kLongestSilence{15};
// A gap is filled from the store within some ten milliseconds of kPushTime. A
// job's end must stop its items within three seconds of its acknowledgement.
constexpr std::chrono::milliseconds kLongestGap{500};
// Eight whole messages: all of them are not lost.
constexpr std::chrono::milliseconds kReportFilled{2000};
// Counts of one entry that are kept while it is ahead: some seconds of them.
constexpr size_t kMostTellings = 64;
// The store is asked at most this often for records that are missing.
constexpr std::chrono::milliseconds kAskPause{250};
// A result must be seen everywhere within a second of its first reading.
constexpr std::chrono::milliseconds kReadLifetime{700};
// While an entry is silent and callers ask, a read follows the one before early
// enough to end within its lifetime at a slow store, which takes 0.25 s.
constexpr std::chrono::milliseconds kSilentAskPause{450};
// Otherwise reads only bring ends of jobs, which must stop within three
// seconds, and jobs of an entry that has died.
constexpr std::chrono::milliseconds kUnwantedAskPause{1500};
// Callers read about twice a second.
constexpr std::chrono::milliseconds kWantedFor{1200};

}  // namespace

SyncTracker::Peer& SyncTracker::EnsurePeer(const std::string& name,
                                           uint64_t start, TimePoint now) {
  Peer& entry = peers_[name];
  if (entry.start == start) return entry;
  const bool restarted = entry.start != 0;
  entry = {.start = start,
           .first_seen_at = now,
           .needs_read_after_restart = restarted};
  return entry;
}

void SyncTracker::RaiseAdvertised(Peer& entry, uint64_t count, TimePoint now) {
  if (count <= entry.advertised) return;
  entry.advertised = count;
  // The oldest stay as they are: they say since when something is missing.
  if (entry.pending.size() >= kMostTellings) entry.pending.pop_back();
  entry.pending.push_back({count, now});
}

void SyncTracker::MarkReceived(Peer& entry, uint64_t count) {
  entry.received = std::max(entry.received, count);
  while (entry.behind() && entry.pending.front().count <= entry.received) {
    entry.pending.pop_front();
  }
}

void SyncTracker::AddPeer(const std::string& name, TimePoint now) {
  peers_.try_emplace(name, Peer{.last_report_at = now});
}

void SyncTracker::OnAdvertisedCount(const std::string& name, uint64_t start,
                                    uint64_t count, TimePoint now) {
  Peer& entry = EnsurePeer(name, start, now);
  entry.last_report_at = now;
  RaiseAdvertised(entry, count, now);
}

void SyncTracker::OnReceived(const std::string& name, uint64_t start,
                             uint64_t before, uint64_t count, TimePoint now) {
  Peer& entry = EnsurePeer(name, start, now);
  entry.last_report_at = now;
  RaiseAdvertised(entry, count, now);
  // With a gap before it, what was received does not make up for it.
  if (entry.received >= before) MarkReceived(entry, count);
}

// Failure guarded against: an entry that writes several records a second tells
// a new count during each read of the store. Taking all of its counts or none
// leaves this entry behind for ever, though each read brings what it lacked,
// and it starts no item as long as it is.
void SyncTracker::OnStoreRead(TimePoint began, TimePoint now) {
  read_began_ = std::max(read_began_, began);
  for (auto& [name, entry] : peers_) {
    uint64_t known = entry.received;
    for (const PendingCount& telling : entry.pending) {
      if (telling.advertised_at <= began) known = telling.count;
    }
    if (known > entry.received) entry.recovered_at = now;
    MarkReceived(entry, known);
    if (entry.first_seen_at <= began) entry.needs_read_after_restart = false;
  }
}

void SyncTracker::OnPaused(TimePoint now) { paused_at_ = now; }

std::map<std::string, RecordCount> SyncTracker::RecentlyRecovered(
    TimePoint now) const {
  std::map<std::string, RecordCount> filled;
  for (const auto& [name, entry] : peers_) {
    if (entry.recovered_at == TimePoint{}) continue;
    if (now - entry.recovered_at > kReportFilled) continue;
    filled[name] = {entry.start, entry.received};
  }
  return filled;
}

void SyncTracker::RemovePeer(const std::string& name) { peers_.erase(name); }

bool SyncTracker::IsBehind(const Peer& entry, TimePoint now) {
  if (entry.needs_read_after_restart && now - entry.first_seen_at >= kPushTime)
    return true;
  return entry.behind() &&
         now - entry.pending.front().advertised_at >= kPushTime;
}

bool SyncTracker::IsSilent(const Peer& entry, TimePoint now) {
  const Duration silence = now - entry.last_report_at;
  return silence >= kSilence && silence < kLongestSilence;
}

bool SyncTracker::NeedsStoreRead(TimePoint now) const {
  if (read_began_ < paused_at_) return true;
  const Duration since_read = now - read_began_;
  const bool wanted = now - caller_waiting_at_ < kWantedFor;
  const auto silent_pause = wanted ? kSilentAskPause : kUnwantedAskPause;
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& e) {
    return (since_read >= kAskPause && IsBehind(e.second, now)) ||
           (since_read >= silent_pause && IsSilent(e.second, now));
  });
}

bool SyncTracker::HasGap(TimePoint now) const {
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& e) {
    return e.second.behind() &&
           now - e.second.pending.front().advertised_at >= kLongestGap;
  });
}

uint64_t SyncTracker::ReceivedFrom(const std::string& name) const {
  const auto entry = peers_.find(name);
  return entry == peers_.end() ? 0 : entry->second.received;
}

bool SyncTracker::IsComplete(TimePoint now) const {
  const bool read = read_began_ != TimePoint{} && read_began_ >= paused_at_;
  return read && !HasGap(now);
}

bool SyncTracker::IsCurrent(TimePoint now) const {
  if (read_began_ == TimePoint{} || read_began_ < paused_at_) return false;
  // A silent entry may commit at any time, so only a recent read makes up for
  // it; one that is behind is made up for by its next read.
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& e) {
    const Peer& entry = e.second;
    return IsBehind(entry, now) ||
           (IsSilent(entry, now) && now - read_began_ > kReadLifetime);
  });
}

}  // namespace knapweedstile::gateway
