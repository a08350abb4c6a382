#include "quarantine.h"

#include <algorithm>

namespace knapweedstile::decide {
namespace {

// A suspicion is dropped after this; a resend by the same caller comes sooner.
constexpr Duration kSuspicionLife = std::chrono::minutes(10);
// A quarantine ends after this, so that a mended engine gets the request again.
constexpr Duration kQuarantineLife = std::chrono::hours(1);

}  // namespace

void Quarantine::OnCrash(TimePoint now, uint64_t fingerprint) {
  if (fingerprint == 0) return;
  ForgetExpired(now);
  Record& record = records_[fingerprint];
  ++record.crashes;
  if (record.crashes < kCrashesToQuarantine) {
    record.until = now + kSuspicionLife;
    return;
  }
  record.until = now + kQuarantineLife;
  record.found_here = true;
}

void Quarantine::OnAnswered(uint64_t fingerprint) {
  if (records_.empty()) return;
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) return;
  if (found->second.crashes < kCrashesToQuarantine) records_.erase(found);
}

void Quarantine::Learn(uint64_t fingerprint, TimePoint until) {
  if (fingerprint == 0) return;
  Record& record = records_[fingerprint];
  record.crashes = std::max(record.crashes, kCrashesToQuarantine);
  record.until = std::max(record.until, until);
}

QuarantineStanding Quarantine::StandingOf(TimePoint now,
                                          uint64_t fingerprint) const {
  if (records_.empty()) return QuarantineStanding::kClear;
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.until <= now) {
    return QuarantineStanding::kClear;
  }
  return found->second.crashes < kCrashesToQuarantine
             ? QuarantineStanding::kSuspect
             : QuarantineStanding::kQuarantined;
}

TimePoint Quarantine::Until(uint64_t fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? TimePoint::min() : found->second.until;
}

std::vector<std::pair<uint64_t, TimePoint>> Quarantine::FoundHere() const {
  std::vector<std::pair<uint64_t, TimePoint>> found;
  for (const auto& [fingerprint, record] : records_) {
    if (record.found_here) found.emplace_back(fingerprint, record.until);
  }
  std::sort(found.begin(), found.end());
  return found;
}

void Quarantine::ForgetExpired(TimePoint now) {
  std::erase_if(records_,
                [now](const auto& item) { return item.second.until <= now; });
}

}  // namespace knapweedstile::decide
