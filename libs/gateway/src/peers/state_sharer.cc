#include "peers/state_sharer.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "peers/peer_link.h"
#include "serving/slot_scheduler.h"
#include "workspaces/rate_quota.h"

namespace knapweedstile::gateway {
namespace {

// A change of usage is told at once, but messages keep this distance for each
// other entry of the cell, so that an entry sends a thousand a second at most.
// Each millisecond of it lets entries take the same slot.
constexpr std::chrono::milliseconds kPausePerEntry{1};
// Without a change, often enough that silence is noticed soon.
constexpr std::chrono::milliseconds kHeartbeat{250};

}  // namespace

StateSharer::StateSharer(boost::asio::io_context& io, PeerLink& peers,
                         const serving::SlotScheduler& board,
                         workspaces::RateQuota& rate, Ports ports)
    : peers_(peers),
      board_(board),
      rate_(rate),
      ports_(std::move(ports)),
      timer_(io) {}

void StateSharer::OnUsageChanged() {
  if (std::exchange(armed_, true)) return;
  const TimePoint due = shared_at_ + kPausePerEntry * (entries_in_cell_ - 1);
  timer_.expires_at(std::max(MonotonicNow(), due));
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) ShareChanges(MonotonicNow());
  });
}

serving::UsageByProcess StateSharer::TakeUsageDelta() {
  serving::UsageByProcess changes;
  serving::UsageByProcess usage = board_.OwnUsage();
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

void StateSharer::ShareChanges(TimePoint now) {
  armed_ = false;
  shared_at_ = now;
  const serving::UsageByProcess changes = TakeUsageDelta();
  PeerState state = ports_.every();
  state.partial = true;
  state.rate = rate_.TakeChanges(now);
  peers_.BroadcastByCell(std::move(state), [&](const serving::Cell& cell) {
    serving::UsageByProcess usage;
    for (const auto& [process, counts] : changes) {
      const serving::ServerRecord* record = board_.RecordByProcess(process);
      if (record && cell.Contains(*record)) usage[process] = counts;
    }
    return usage;
  });
}

void StateSharer::ShareWhole(TimePoint now) {
  shared_whole_at_ = now;
  PeerState state = ports_.every();
  ports_.whole(state, now);
  state.usage = board_.OwnUsage();
  state.rate = rate_.Report(now);
  published_usage_ = state.usage;
  peers_.Broadcast(std::move(state));
  ShareSummary(now);
}

void StateSharer::ShareSummary(TimePoint now) {
  if (auto summary = ports_.summary(now)) {
    peers_.BroadcastSummary(std::move(*summary));
  }
}

void StateSharer::Run(TimePoint now) {
  if (now - shared_whole_at_ >= kHeartbeat) ShareWhole(now);
}

}  // namespace knapweedstile::gateway
