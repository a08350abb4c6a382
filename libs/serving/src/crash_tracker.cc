#include "serving/crash_tracker.h"

#include <algorithm>
#include <utility>

namespace knapweedstile::serving {
namespace {

// A harmless request can be broken twice when servers crash one after the
// other; a third time is taken as proof.
constexpr uint32_t kBreaksToQuarantine = 3;
// Time after its last broken attempt for which a fingerprint is kept.
constexpr std::chrono::seconds kRecordLifetime{60};
// Maximum number of fingerprints reported to peers. Few requests break two
// attempts, and the crash of one server adds about eight that were broken once.
constexpr size_t kMaxReportedCounts = 32;

}  // namespace

void CrashTracker::OnAttemptBroken(uint64_t fingerprint, TimePoint now) {
  Record& record = own_records_[fingerprint];
  ++record.breaks;
  record.expires_at = now + kRecordLifetime;
}

void CrashTracker::OnAnswered(uint64_t fingerprint) {
  own_records_.erase(fingerprint);
}

void CrashTracker::SetPeerCounts(const std::string& peer,
                                 const std::vector<CrashCount>& counts) {
  auto& peer_counts = peer_counts_[peer];
  peer_counts.clear();
  for (const CrashCount& count : counts) {
    peer_counts[count.fingerprint] = count.breaks;
  }
}

void CrashTracker::RemovePeer(const std::string& peer) {
  peer_counts_.erase(peer);
}

void CrashTracker::Expire(TimePoint now) {
  std::erase_if(own_records_,
                [now](const auto& r) { return r.second.expires_at <= now; });
}

bool CrashTracker::IsQuarantined(uint64_t fingerprint) const {
  uint32_t breaks = 0;
  const auto own = own_records_.find(fingerprint);
  if (own != own_records_.end()) breaks += own->second.breaks;
  for (const auto& [peer, counts] : peer_counts_) {
    const auto other = counts.find(fingerprint);
    if (other != counts.end()) breaks += other->second;
  }
  return breaks >= kBreaksToQuarantine;
}

std::vector<CrashCount> CrashTracker::OwnCounts() const {
  std::vector<std::pair<TimePoint, CrashCount>> all;
  all.reserve(own_records_.size());
  for (const auto& [fingerprint, record] : own_records_) {
    all.push_back({record.expires_at, {fingerprint, record.breaks}});
  }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second.breaks, a.first) >
           std::pair(b.second.breaks, b.first);
  });
  if (all.size() > kMaxReportedCounts) all.resize(kMaxReportedCounts);
  std::vector<CrashCount> counts;
  counts.reserve(all.size());
  for (const auto& [at, count] : all) counts.push_back(count);
  return counts;
}

}  // namespace knapweedstile::serving
