#include "serving/quota_limiter.h"

#include <algorithm>

namespace knapweedstile::serving {

QuotaVerdict QuotaLimiter::Check(const QuotaScope& scope,
                                 uint64_t waiting_tokens, uint64_t tokens,
                                 uint64_t limit, size_t gateways) const {
  if (waiting_tokens + tokens > limit) return QuotaVerdict::kOverLimit;
  uint64_t unacknowledged = 0;
  for (const auto& [job, reservation] : unacknowledged_) {
    if (reservation.scope == scope) unacknowledged += reservation.tokens;
  }
  if (unacknowledged == 0 || gateways <= 1) return QuotaVerdict::kAccept;
  const double share = kSharedOverage * static_cast<double>(limit) /
                       static_cast<double>(gateways);
  return static_cast<double>(unacknowledged + tokens) <= share
             ? QuotaVerdict::kAccept
             : QuotaVerdict::kAwaitPeers;
}

void QuotaLimiter::Reserve(const std::string& job, const QuotaScope& scope,
                           uint64_t tokens) {
  unacknowledged_[job] = {.scope = scope, .tokens = tokens};
}

void QuotaLimiter::OnRecordWritten(const std::string& job,
                                   uint64_t record_number) {
  const auto found = unacknowledged_.find(job);
  if (found != unacknowledged_.end())
    found->second.record_number = record_number;
}

void QuotaLimiter::Release(const std::string& job) {
  unacknowledged_.erase(job);
}

void QuotaLimiter::OnWriteUncertain(const std::string& job,
                                    TimePoint expires_at) {
  const auto found = unacknowledged_.find(job);
  if (found != unacknowledged_.end()) found->second.expires_at = expires_at;
}

void QuotaLimiter::OnAcknowledged(uint64_t record_number, TimePoint now) {
  std::erase_if(unacknowledged_, [&](const auto& element) {
    const Reservation& reservation = element.second;
    const bool written = reservation.record_number != 0;
    return written ? reservation.record_number <= record_number
                   : reservation.expires_at <= now;
  });
}

}  // namespace knapweedstile::serving
