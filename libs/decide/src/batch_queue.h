#ifndef KNAPWEEDSTILE_DECIDE_SRC_BATCH_QUEUE_H_
#define KNAPWEEDSTILE_DECIDE_SRC_BATCH_QUEUE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "batch_shares.h"
#include "decide/gate_rules.h"
#include "gate_request.h"

namespace knapweedstile::decide {

// Batch items that wait in the gate, new and parked. Order: nearer due class,
// then those displaced by online (their turn had come, and their context may
// still be cached), then least served workspace, then least served caller in
// it, then longest queued. Each kFairTurn-th pick leaves the due class out, so
// that a stream of urgent items never holds back the others for ever.
//
// The queue is short (its bound is a setting of some dozens), so a pick looks
// at every item.
class BatchQueue {
 public:
  BatchQueue(const GateRules& rules, const BatchShares& shares);

  // Commands.
  void Push(const GateRequest& item);
  GateRequest Take(RequestId id);
  // Counts a pick that was used.
  void OnPicked();

  // Queries.
  bool Empty() const { return items_.empty(); }
  size_t Size() const { return items_.size(); }
  bool Contains(RequestId id) const;
  const std::vector<GateRequest>& Items() const { return items_; }
  // The item to start next.
  const GateRequest* Next(TimePoint now) const;
  // The never started item that would run last.
  const GateRequest* LastNew(TimePoint now) const;

 private:
  struct Rank;

  // Ground: a quarter of the picks is enough for progress and leaves three
  // quarters to the cutoff that is near. To be measured.
  static constexpr uint32_t kFairTurn = 4;

  Rank RankOf(const GateRequest& item, TimePoint now, bool by_due) const;

  const GateRules& rules_;
  const BatchShares& shares_;
  std::vector<GateRequest> items_;
  uint32_t picks_ = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_BATCH_QUEUE_H_
