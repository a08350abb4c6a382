#ifndef KNAPWEEDSTILE_GATEWAY_STATE_SHARER_H_
#define KNAPWEEDSTILE_GATEWAY_STATE_SHARER_H_

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
class StateSharer {
 public:
  struct Ports {
    // What each message holds beside usage and rates.
    std::function<PeerState()> every;
    // What whole messages hold besides.
    std::function<void(PeerState& state, TimePoint now)> whole;
    // What other cells are told; nothing: there is nothing to tell.
    std::function<std::optional<PeerState>(TimePoint now)> summary;
  };

  StateSharer(boost::asio::io_context& io, PeerLink& peers,
              const serving::SlotScheduler& board, workspaces::RateQuota& rate,
              Ports ports);

  // This one included.
  void SetEntriesInCell(size_t entries) noexcept { entries_in_cell_ = entries; }
  void OnUsageChanged();
  void ShareWhole(TimePoint now);
  // Where the last whole message is old.
  void Run(TimePoint now);

 private:
  void ShareChanges(TimePoint now);
  void ShareSummary(TimePoint now);
  // What has changed since it was last told; told from now on.
  serving::UsageByProcess TakeUsageDelta();

  PeerLink& peers_;
  const serving::SlotScheduler& board_;
  workspaces::RateQuota& rate_;
  Ports ports_;
  boost::asio::steady_timer timer_;
  size_t entries_in_cell_ = 1;
  bool armed_ = false;
  TimePoint shared_at_{};
  TimePoint shared_whole_at_{};
  serving::UsageByProcess published_usage_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STATE_SHARER_H_
