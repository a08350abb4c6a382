#include "sync_tracker.h"

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
// The store is asked at most this often.
constexpr std::chrono::milliseconds kAskPause{250};

}  // namespace

SyncTracker::Entry& SyncTracker::Known(const std::string& name,
                                       uint64_t start) {
  Entry& entry = entries_[name];
  if (entry.start != start) entry = {.start = start};
  return entry;
}

void SyncTracker::Raise(Entry& entry, uint64_t count, TimePoint now) {
  if (count <= entry.told) return;
  if (entry.received >= entry.told) entry.behind_since = now;
  entry.told = count;
  entry.told_at = now;
}

void SyncTracker::OnCount(const std::string& name, uint64_t start,
                          uint64_t count, TimePoint now) {
  Entry& entry = Known(name, start);
  entry.heard_at = now;
  Raise(entry, count, now);
}

void SyncTracker::OnReceived(const std::string& name, uint64_t start,
                             uint64_t before, uint64_t count, TimePoint now) {
  Entry& entry = Known(name, start);
  entry.heard_at = now;
  Raise(entry, count, now);
  // With a gap before it, what was received does not make up for it.
  if (entry.received >= before) {
    entry.received = std::max(entry.received, count);
  }
}

void SyncTracker::OnStoreRead(TimePoint began) {
  read_began_ = std::max(read_began_, began);
  for (auto& [name, entry] : entries_) {
    if (entry.told_at <= began) entry.received = entry.told;
  }
}

void SyncTracker::Forget(const std::string& name) { entries_.erase(name); }

bool SyncTracker::MustAskStore(TimePoint now) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& known) {
    const Entry& entry = known.second;
    if (now - read_began_ < kAskPause) return false;
    if (entry.received < entry.told && now - entry.behind_since >= kPushTime) {
      return true;
    }
    const Duration silence = now - entry.heard_at;
    return silence >= kSilence && silence < kLongestSilence;
  });
}

}  // namespace knapweedstile::gateway
