#ifndef KNAPWEEDSTILE_SERVING_ITEM_PROGRESS_H_
#define KNAPWEEDSTILE_SERVING_ITEM_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace knapweedstile::serving {

enum class ItemPhase {
  kWaiting,    // may be started from `not_before` on
  kRunning,    // on a backend server, for this gateway
  kFinished,   // its result is not committed yet
  kCommitted,  // its result is committed
};

// Progress of one item on one gateway. The gateway that would take the item
// over receives it in updates (progress_update.h); what was not sent is lost
// with the process. The first commit of a result counts, whichever gateway ran
// the item.
struct ItemProgress {
  ItemPhase phase = ItemPhase::kWaiting;
  TimePoint not_before{};
  uint32_t failures = 0;  // responses that count as attempts
  uint32_t breaks = 0;    // runs that ended without response or progress
  // Time since which no route leads to its backend servers; unset while one
  // does.
  std::optional<TimePoint> unrouted_since;
  // Output so far and the id of its last event, after which a preempted or
  // broken run resumes.
  std::string output;
  std::optional<uint64_t> last_event;
  // Service and software version of the servers that produced it: the output of
  // others does not continue it. Empty: unknown.
  std::string service;
  std::string software;
  // Since when it waits for a slot at that version; unset while it does not.
  std::optional<TimePoint> awaits_version_since;
  // The last event that was sent to, or received from, another gateway.
  uint64_t published_event = 0;
  // Size of the output up to it; zero: the next update has the whole output.
  size_t published_bytes = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_ITEM_PROGRESS_H_
