#include "peers/state_publisher.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "peers/peer_link.h"
#include "serving/slot_scheduler.h"
#include "workspaces/rate_quota.h"

namespace knapweedstile::gateway {
namespace {

// Minimum interval between deltas per peer in the cell. It limits a gateway to
// a thousand datagrams per second; each millisecond of delay lets gateways
// reserve the same slot.
constexpr std::chrono::milliseconds kDeltaIntervalPerPeer{1};
// Interval of full messages; short enough to detect unreachable gateways soon.
constexpr std::chrono::milliseconds kFullStateInterval{250};

}  // namespace

StatePublisher::StatePublisher(boost::asio::io_context& io, PeerLink& peers,
                               const serving::SlotScheduler& scheduler,
                               workspaces::RateQuota& rate, Callbacks callbacks)
    : peers_(peers),
      scheduler_(scheduler),
      rate_(rate),
      callbacks_(std::move(callbacks)),
      timer_(io) {}

void StatePublisher::OnUsageChanged() {
  if (std::exchange(armed_, true)) return;
  const TimePoint due =
      published_at_ + kDeltaIntervalPerPeer * (gateways_in_cell_ - 1);
  timer_.expires_at(std::max(MonotonicNow(), due));
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) PublishDelta(MonotonicNow());
  });
}

serving::UsageByProcess StatePublisher::TakeUsageDelta() {
  serving::UsageByProcess changes;
  serving::UsageByProcess usage = scheduler_.OwnUsage();
  for (const auto& [process, counts] : usage) {
    const auto published = published_usage_.find(process);
    if (published == published_usage_.end() || !(published->second == counts)) {
      changes[process] = counts;
    }
  }
  for (const auto& [process, counts] : published_usage_) {
    if (!usage.contains(process)) changes[process] = {};
  }
  published_usage_ = std::move(usage);
  return changes;
}

void StatePublisher::PublishDelta(TimePoint now) {
  armed_ = false;
  published_at_ = now;
  const serving::UsageByProcess changes = TakeUsageDelta();
  PeerState state = callbacks_.base_state();
  state.partial = true;
  state.rate = rate_.TakeIncrementalReport(now);
  peers_.BroadcastByCell(std::move(state), [&](const serving::Cell& cell) {
    serving::UsageByProcess usage;
    for (const auto& [process, counts] : changes) {
      const serving::ServerRecord* record = scheduler_.RecordByProcess(process);
      if (record && cell.Contains(*record)) usage[process] = counts;
    }
    return usage;
  });
}

void StatePublisher::PublishFull(TimePoint now) {
  full_published_at_ = now;
  PeerState state = callbacks_.base_state();
  callbacks_.add_full_state(state, now);
  state.usage = scheduler_.OwnUsage();
  state.rate = rate_.FullReport(now);
  published_usage_ = state.usage;
  peers_.Broadcast(std::move(state));
  PublishSummary(now);
}

void StatePublisher::PublishSummary(TimePoint now) {
  if (auto summary = callbacks_.summary(now)) {
    peers_.BroadcastSummary(std::move(*summary));
  }
}

void StatePublisher::Run(TimePoint now) {
  if (now - full_published_at_ >= kFullStateInterval) PublishFull(now);
}

}  // namespace knapweedstile::gateway
