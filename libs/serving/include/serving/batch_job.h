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

// An accepted batch job as one entry knows it.
struct BatchJob {
  std::string id;
  std::string creator;  // the entry that accepted it
  std::string host;
  std::string route;      // name of its route when it was accepted
  std::string workspace;  // that it was handed in under; empty: none
  std::vector<BatchItem> items;
  std::unordered_map<std::string, uint32_t> item_index;
  std::vector<ItemProgress> progress;  // one for each item
  // Committed results in order of their positions; they never change.
  std::vector<ItemResult> results;
  uint32_t segments = 0;  // result segments committed
  bool ended = false;     // its caller wants no more of it
  TimePoint received_at;  // when this entry first knew of it
  TimePoint due_at;       // results are wanted by then
  TimePoint expires_at;   // an item may be given up from then on

  bool complete() const noexcept { return results.size() >= items.size(); }
  bool open() const noexcept { return !ended && !complete(); }
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_BATCH_JOB_H_
