#include "batch_queue.h"

#include <algorithm>
#include <tuple>

#include "batch_due.h"
#include "gate_invariant.h"

namespace knapweedstile::decide {

// Smaller goes first.
struct BatchQueue::Rank {
  uint32_t due_class = 0;
  bool is_new = false;  // not displaced
  BatchShares::Rank share;
  TimePoint queued_at;
  uint64_t id = 0;

  bool operator<(const Rank& other) const {
    return std::tie(due_class, is_new, share, queued_at, id) <
           std::tie(other.due_class, other.is_new, other.share, other.queued_at,
                    other.id);
  }
};

BatchQueue::BatchQueue(const GateRules& rules, const BatchShares& shares)
    : rules_(rules), shares_(shares) {}

void BatchQueue::Push(const GateRequest& item) { items_.push_back(item); }

GateRequest BatchQueue::Take(RequestId id) {
  const auto found = std::find_if(items_.begin(), items_.end(),
                                  [&](const auto& i) { return i.id == id; });
  CheckInvariant(found != items_.end(), "a taken batch item waits");
  GateRequest item = *found;
  items_.erase(found);
  return item;
}

void BatchQueue::OnPicked() { ++picks_; }

bool BatchQueue::Contains(RequestId id) const {
  return std::any_of(items_.begin(), items_.end(),
                     [&](const auto& i) { return i.id == id; });
}

const GateRequest* BatchQueue::Next(TimePoint now) const {
  const bool by_due = picks_ % kFairTurn != kFairTurn - 1;
  const GateRequest* best = nullptr;
  Rank best_rank;
  for (const GateRequest& item : items_) {
    const Rank rank = RankOf(item, now, by_due);
    if (best != nullptr && best_rank < rank) continue;
    best = &item;
    best_rank = rank;
  }
  return best;
}

const GateRequest* BatchQueue::LastNew(TimePoint now) const {
  const GateRequest* last = nullptr;
  Rank last_rank;
  for (const GateRequest& item : items_) {
    if (item.parked) continue;
    const Rank rank = RankOf(item, now, /*by_due=*/true);
    if (last != nullptr && rank < last_rank) continue;
    last = &item;
    last_rank = rank;
  }
  return last;
}

BatchQueue::Rank BatchQueue::RankOf(const GateRequest& item, TimePoint now,
                                    bool by_due) const {
  Rank rank;
  if (by_due && rules_.due_order) rank.due_class = DueClass(item.due, now);
  if (rules_.fair_shares) rank.share = shares_.RankOf(item.owner);
  rank.is_new = !item.displaced;
  rank.queued_at = item.queued_at;
  rank.id = item.id.value();
  return rank;
}

}  // namespace knapweedstile::decide
