#ifndef KNAPWEEDSTILE_NODE_SHARD_SET_H_
#define KNAPWEEDSTILE_NODE_SHARD_SET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs/item_ticket.h"
#include "jobs/item_work.h"
#include "jobs/lane.h"
#include "jobs/shard_owner.h"
#include "jobs/shard_owner_settings.h"

namespace knapweedstile::node {

class PlatformCalls;

// This entry's part in every job shard: which ones it stands for as a
// candidate, their calls to the platform, and the items they hand out in turn.
class ShardSet {
 public:
  // An item of one of the shards held here.
  struct Item {
    uint32_t shard = 0;
    jobs::ItemWork work;
  };
  struct Stop {
    uint32_t shard = 0;
    jobs::ItemTicket ticket;
  };

  ShardSet(const jobs::ShardOwnerSettings& settings, uint32_t shard_count,
           std::string node, uint64_t incarnation, PlatformCalls& platform);

  // Commands.
  // `entries`: names of the entries that are live. Each shard has two
  // candidates among them by rendezvous hash; the second waits two lease terms
  // before it stands, so that the first one takes its own shards.
  void SetEntries(TimePoint now, const std::vector<std::string>& entries);
  void Tick(TimePoint now);
  void PollSoon(uint32_t shard, TimePoint now);
  // Graceful shutdown: hands nothing out any more and gives the leases up.
  void Release(TimePoint now);
  std::optional<Item> NextItem(TimePoint now,
                               const jobs::LaneHasRoom& has_room);
  std::vector<Stop> TakeStops();
  // To report an item's outcome; call Pump afterwards.
  jobs::ShardOwner& owner(uint32_t shard) { return *owners_[shard]; }
  void Pump(uint32_t shard);

  // Queries.
  const std::vector<std::unique_ptr<jobs::ShardOwner>>& owners()
      const noexcept {
    return owners_;
  }
  uint32_t count() const noexcept {
    return static_cast<uint32_t>(owners_.size());
  }
  TimePoint NextWake(TimePoint now) const;
  // No lease is held and no item is in flight.
  bool Released() const;

 private:
  size_t RankOf(uint32_t shard, const std::vector<std::string>& entries) const;

  jobs::ShardOwnerSettings settings_;
  std::string node_;
  PlatformCalls& platform_;
  std::vector<std::unique_ptr<jobs::ShardOwner>> owners_;
  std::vector<std::string> entries_;
  TimePoint known_since_;
  bool known_ = false;
  bool releasing_ = false;
  uint32_t next_shard_ = 0;  // whose turn it is to hand out an item
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SHARD_SET_H_
