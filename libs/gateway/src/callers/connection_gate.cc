#include "callers/connection_gate.h"

#include <algorithm>

namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::milliseconds kAdjustInterval{250};
// Time constant of the usual rate: longer than a burst of callers.
constexpr std::chrono::seconds kUsualTime{10};
constexpr double kFirstLimitToUsual = 1.5;
constexpr double kMinLimit = 3;  // connections a second
constexpr double kDecrease = 0.8;
constexpr double kIncrease = 1.15;
// The limit is removed once it is this far above the connections that come.
constexpr double kFarAbove = 1.5;
// Connections that may be accepted at one moment, in seconds of the limit.
constexpr double kBurstSeconds = 0.1;

}  // namespace

void ConnectionGate::Update(bool limits, TimePoint now) {
  if (adjusted_at_ == TimePoint{}) adjusted_at_ = now;
  if (limits && !limiting_) {
    limiting_ = true;
    limit_ = std::max(kMinLimit, usual_rate_ * kFirstLimitToUsual);
    tokens_ = 0;
    refilled_at_ = adjusted_at_ = now;
    arrived_ = 0;
    return;
  }
  const Duration elapsed = now - adjusted_at_;
  if (elapsed < kAdjustInterval) return;
  const double rate = static_cast<double>(arrived_) / ToSeconds(elapsed);
  adjusted_at_ = now;
  arrived_ = 0;
  if (!limiting_) {
    const double weight =
        std::min(1.0, ToSeconds(elapsed) / ToSeconds(kUsualTime));
    usual_rate_ += weight * (rate - usual_rate_);
    return;
  }
  limit_ = std::max(kMinLimit, limit_ * (limits ? kDecrease : kIncrease));
  limiting_ = limits || limit_ < kFarAbove * rate;
}

void ConnectionGate::Refill(TimePoint now) {
  tokens_ = std::min(std::max(1.0, limit_ * kBurstSeconds),
                     tokens_ + limit_ * ToSeconds(now - refilled_at_));
  refilled_at_ = now;
}

bool ConnectionGate::Admit(TimePoint now) {
  ++arrived_;
  if (!limiting_) return true;
  Refill(now);
  if (tokens_ < 1) {
    ++closed_;
    return false;
  }
  --tokens_;
  return true;
}

}  // namespace knapweedstile::gateway
