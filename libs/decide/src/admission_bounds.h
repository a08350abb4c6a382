#ifndef KNAPWEEDSTILE_DECIDE_ADMISSION_BOUNDS_H_
#define KNAPWEEDSTILE_DECIDE_ADMISSION_BOUNDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/traffic_class.h"
#include "decide/refusal.h"
#include "fair_queue.h"

namespace knapweedstile::decide {

struct EntrySettings;

// The bounds of what waits in this entry, over all targets. Batch has a bound
// of its own, so it never takes a place from online.
//
// Load pattern: a hot caller or workspace fills the queue. Without it the
// others are refused for want of a place, though the queue is fair in its
// order. A flow may take as many places as are left free (the dynamic threshold
// of Choudhury and Hahne 1998): one flow alone gets half, N hot flows get
// 1/(N+1) each, and a newcomer always finds a place.
class AdmissionBounds {
 public:
  explicit AdmissionBounds(const EntrySettings& settings);

  // Queries.
  // Why one more of this flow may not wait, if it may not.
  std::optional<RefusalReason> Refuses(TrafficClass traffic_class,
                                       FairQueueKey key) const;
  size_t waiting(TrafficClass traffic_class) const noexcept;

  // Commands.
  void Add(TrafficClass traffic_class, FairQueueKey key);
  void Remove(TrafficClass traffic_class, FairQueueKey key);

 private:
  using Counts = std::unordered_map<uint64_t, size_t>;
  static size_t CountOf(const Counts& counts, uint64_t key);
  static void Decrement(Counts& counts, uint64_t key);

  const EntrySettings& settings_;
  size_t online_ = 0;
  size_t batch_ = 0;
  Counts online_of_workspace_;
  Counts online_of_caller_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ADMISSION_BOUNDS_H_
