#ifndef KNAPWEEDSTILE_SERVING_BATCH_JOB_H_
#define KNAPWEEDSTILE_SERVING_BATCH_JOB_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "serving/batch_item.h"
#include "serving/item_progress.h"
#include "serving/item_result.h"

namespace knapweedstile::serving {

// An accepted batch job as known to one gateway.
struct BatchJob {
  std::string id;
  std::string creator;  // the gateway that accepted it
  std::string host;
  std::string route;      // name of its route at submission
  std::string workspace;  // of the caller; empty: none
  std::vector<BatchItem> items;
  std::unordered_map<std::string, uint32_t> item_index;
  std::vector<ItemProgress> progress;  // one per item
  // Committed results in commit order; a position never changes.
  std::vector<ItemResult> results;
  uint32_t segments = 0;  // result segments committed
  bool ended = false;     // cancelled or deleted by its caller
  TimePoint received_at;  // by this gateway
  TimePoint due_at;       // deadline for all results
  TimePoint expires_at;   // items may be failed from then on

  bool complete() const noexcept { return results.size() >= items.size(); }
  bool open() const noexcept { return !ended && !complete(); }
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_BATCH_JOB_H_
