#ifndef KNAPWEEDSTILE_NODE_BATCH_ITEMS_H_
#define KNAPWEEDSTILE_NODE_BATCH_ITEMS_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/id.h"
#include "base/time.h"
#include "batch_item.h"
#include "request_event.h"
#include "shard_set.h"

namespace knapweedstile::observe {
class Metrics;
}

namespace knapweedstile::node {

class EntryFleet;
class RequestRunner;

// Takes items from the shards held here while their pools have room, submits
// them as batch requests, and reports their outcomes back to their shards.
class BatchItems {
 public:
  BatchItems(ShardSet& shards, RequestRunner& runner, const EntryFleet& fleet,
             observe::Metrics& metrics);

  // Commands. `next_id` gives ids that are unique in this process.
  void Fill(TimePoint now, const std::function<RequestId()>& next_id);
  // True when the event belongs to an item here.
  bool OnEvent(TimePoint now, const RequestEvent& event);

  // Queries.
  size_t size() const noexcept { return items_.size(); }

 private:
  bool HasRoom(TimePoint now, const jobs::Lane& lane) const;
  void Take(TimePoint now, ShardSet::Item&& item, RequestId id);
  void StopCancelled(TimePoint now);
  void OnOutput(TimePoint now, BatchItem& item,
                const RequestOutputEvent& event);
  void OnFinished(TimePoint now, BatchItem& item, const pb::Finished& finished);
  void OnRefused(TimePoint now, const BatchItem& item,
                 const decide::Refusal& refusal);
  void OnFailed(TimePoint now, const BatchItem& item,
                const RequestFailedEvent& event);
  void FailForGood(TimePoint now, uint32_t shard, jobs::ItemTicket ticket,
                   std::string code, std::string message);

  ShardSet& shards_;
  RequestRunner& runner_;
  const EntryFleet& fleet_;
  observe::Metrics& metrics_;
  std::unordered_map<RequestId, BatchItem> items_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_BATCH_ITEMS_H_
