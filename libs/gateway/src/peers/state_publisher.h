#ifndef KNAPWEEDSTILE_GATEWAY_STATE_PUBLISHER_H_
#define KNAPWEEDSTILE_GATEWAY_STATE_PUBLISHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "base/time.h"
#include "peers/peer_state.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {
class SlotScheduler;
}
namespace knapweedstile::workspaces {
class RateQuota;
}

namespace knapweedstile::gateway {

class PeerLink;

// Publishes this gateway's slot usage and admitted requests to its peers:
// deltas without delay to the server's cell, and the full state to all peers
// periodically.
class StatePublisher {
 public:
  struct Callbacks {
    // Returns the fields that every message carries besides usage and rates.
    std::function<PeerState()> base_state;
    // Adds the fields that only full messages carry.
    std::function<void(PeerState& state, TimePoint now)> add_full_state;
    // Returns the summary for other cells, or nothing if there is nothing to
    // report.
    std::function<std::optional<PeerState>(TimePoint now)> summary;
  };

  StatePublisher(boost::asio::io_context& io, PeerLink& peers,
                 const serving::SlotScheduler& scheduler,
                 workspaces::RateQuota& rate, Callbacks callbacks);

  // The number includes this gateway.
  void SetGatewaysInCell(size_t gateways) noexcept {
    gateways_in_cell_ = gateways;
  }
  void OnUsageChanged();
  void PublishFull(TimePoint now);
  // Publishes the full state if the heartbeat interval has passed.
  void Run(TimePoint now);

 private:
  void PublishDelta(TimePoint now);
  void PublishSummary(TimePoint now);
  // Returns the usage that changed since the last message and marks it as
  // published.
  serving::UsageByProcess TakeUsageDelta();

  PeerLink& peers_;
  const serving::SlotScheduler& scheduler_;
  workspaces::RateQuota& rate_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  size_t gateways_in_cell_ = 1;
  bool armed_ = false;
  TimePoint published_at_{};
  TimePoint full_published_at_{};
  serving::UsageByProcess published_usage_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STATE_PUBLISHER_H_
