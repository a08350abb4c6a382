#ifndef KNAPWEEDSTILE_SERVING_ITEM_PROGRESS_H_
#define KNAPWEEDSTILE_SERVING_ITEM_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace knapweedstile::serving {

enum class ItemPhase {
  kWaiting,    // may be started from `not_before` on
  kRunning,    // at a backend server, for this entry
  kFinished,   // its result waits to be committed
  kCommitted,  // its result is committed
};

// What one entry has done for one item. The entry that would go on with it is
// told of it (progress_update.h); what was not told is lost with the process.
// The first commit of a result counts, whoever ran the item.
struct ItemProgress {
  ItemPhase phase = ItemPhase::kWaiting;
  TimePoint not_before{};
  uint32_t failures = 0;  // answers that count against its attempts
  uint32_t breaks = 0;    // runs that ended without an answer or progress
  // Since when no route leads to its backend servers; unset while one does.
  std::optional<TimePoint> unrouted_since;
  // Output so far and the id of its last event: a displaced or broken run goes
  // on after it.
  std::string output;
  std::optional<uint64_t> last_event;
  // The last event that another entry was told of, or told of here.
  uint64_t published_event = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_ITEM_PROGRESS_H_
