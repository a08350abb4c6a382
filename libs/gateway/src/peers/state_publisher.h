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

// Tells the other entries which slots this one has taken or left and what it
// has admitted: changes soon and to the server's cell, everything to all at a
// steady pace.
class StatePublisher {
 public:
  struct Callbacks {
    // What each message holds beside usage and rates.
    std::function<PeerState()> base_state;
    // What whole messages hold besides.
    std::function<void(PeerState& state, TimePoint now)> add_full_state;
    // What other cells are told; nothing: there is nothing to tell.
    std::function<std::optional<PeerState>(TimePoint now)> summary;
  };

  StatePublisher(boost::asio::io_context& io, PeerLink& peers,
                 const serving::SlotScheduler& board,
                 workspaces::RateQuota& rate, Callbacks ports);

  // This one included.
  void SetGatewaysInCell(size_t entries) noexcept {
    gateways_in_cell_ = entries;
  }
  void OnUsageChanged();
  void PublishFull(TimePoint now);
  // Where the last whole message is old.
  void Run(TimePoint now);

 private:
  void PublishDelta(TimePoint now);
  void PublishSummary(TimePoint now);
  // What has changed since it was last told; told from now on.
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
