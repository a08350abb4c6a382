#ifndef KNAPWEEDSTILE_SERVING_BATCH_JOB_H_
#define KNAPWEEDSTILE_SERVING_BATCH_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "serving/batch_item.h"
#include "serving/item_progress.h"
#include "serving/item_result.h"

namespace knapweedstile::serving {

// Positions of results, from `first` up to before `end`.
struct ResultRange {
  size_t first = 0;
  size_t end = 0;
};

// An accepted batch job as known to one gateway: in full, or in outline,
// without the items' bodies and headers and the results' outputs.
struct BatchJob {
  std::string id;
  // Its owner: the gateway that was chosen to run it.
  std::string creator;
  // The second gateway that holds it in full; empty: every gateway does.
  std::string second_holder;
  std::string host;
  std::string route;      // name of its route at submission
  std::string workspace;  // of the caller; empty: none
  // Version of the configuration under which the job was accepted, or a later
  // one; zero: unknown.
  uint64_t configuration = 0;
  std::vector<BatchItem> items;
  std::unordered_map<std::string, uint32_t> item_index;
  std::vector<ItemProgress> progress;  // one per item
  // Committed results in commit order; a position never changes.
  std::vector<ItemResult> results;
  uint32_t segments = 0;   // result segments committed
  bool has_bodies = true;  // false: an outline
  // Results without outputs, by the number of their segment.
  std::map<uint32_t, ResultRange> outline_segments;
  uint64_t bytes = 0;     // estimated memory, kept by JobTable
  bool ended = false;     // cancelled or deleted by its caller
  TimePoint received_at;  // by this gateway
  TimePoint due_at;       // deadline for all results
  TimePoint expires_at;   // items may be failed from then on

  bool complete() const noexcept { return results.size() >= items.size(); }
  bool open() const noexcept { return !ended && !complete(); }
  // The segment of the result at `position` if its outputs are missing. A page
  // of results may end before the first result without output.
  std::optional<uint32_t> MissingSegment(uint64_t position) const {
    for (const auto& [number, range] : outline_segments) {
      if (range.first <= position && position < range.end) return number;
    }
    return std::nullopt;
  }
  // Whether the segment's outputs are missing because the store has them in
  // parts only.
  bool InParts(uint32_t segment) const {
    const auto found = outline_segments.find(segment);
    return found != outline_segments.end() &&
           results[found->second.first].in_parts;
  }
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_BATCH_JOB_H_
