#include "serving/crash_tracker.h"

#include <algorithm>
#include <utility>

namespace knapweedstile::serving {
namespace {

// Two breaks happen to an innocent request when servers crash one after the
// other; a third is taken as proof.
constexpr uint32_t kBreaksToQuarantine = 3;
// How long a fingerprint is remembered after its last break.
constexpr std::chrono::seconds kMemory{60};
// Fingerprints told to the other entries: those that broke something twice are
// few, and a crash of one server adds some eight that did so once.
constexpr size_t kMostReported = 32;

}  // namespace

void CrashTracker::OnAttemptBroken(uint64_t fingerprint, TimePoint now) {
  Record& record = own_records_[fingerprint];
  ++record.breaks;
  record.forget_at = now + kMemory;
}

void CrashTracker::OnAnswered(uint64_t fingerprint) {
  own_records_.erase(fingerprint);
}

void CrashTracker::SetPeerCounts(const std::string& entry,
                                 const std::vector<CrashCount>& counts) {
  auto& known = peer_counts_[entry];
  known.clear();
  for (const CrashCount& count : counts) {
    known[count.fingerprint] = count.breaks;
  }
}

void CrashTracker::RemovePeer(const std::string& entry) {
  peer_counts_.erase(entry);
}

void CrashTracker::Expire(TimePoint now) {
  std::erase_if(own_records_,
                [now](const auto& r) { return r.second.forget_at <= now; });
}

bool CrashTracker::IsQuarantined(uint64_t fingerprint) const {
  uint32_t breaks = 0;
  const auto own = own_records_.find(fingerprint);
  if (own != own_records_.end()) breaks += own->second.breaks;
  for (const auto& [entry, counts] : peer_counts_) {
    const auto other = counts.find(fingerprint);
    if (other != counts.end()) breaks += other->second;
  }
  return breaks >= kBreaksToQuarantine;
}

std::vector<CrashCount> CrashTracker::OwnCounts() const {
  std::vector<std::pair<TimePoint, CrashCount>> all;
  all.reserve(own_records_.size());
  for (const auto& [fingerprint, record] : own_records_) {
    all.push_back({record.forget_at, {fingerprint, record.breaks}});
  }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second.breaks, a.first) >
           std::pair(b.second.breaks, b.first);
  });
  if (all.size() > kMostReported) all.resize(kMostReported);
  std::vector<CrashCount> counts;
  counts.reserve(all.size());
  for (const auto& [at, count] : all) counts.push_back(count);
  return counts;
}

}  // namespace knapweedstile::serving
