#include "admission/wait_queue.h"

#include <iterator>

namespace knapweedstile::admission {
namespace {

constexpr size_t kMaxWaiting = 256;
// Below this many slots per second, nothing becomes free that could be waited
// for.
constexpr double kMinRate = 0.5;
// Beyond this many requests for each slot that becomes free, the queue is full
// at all times: it serves nobody more, and those who return before those who
// come for the first time.
constexpr double kMaxOverload = 2.0;

// Whether `count` slots become free until `start_by`.
bool BecomeFree(size_t count, TimePoint start_by, double rate, TimePoint now) {
  return static_cast<double>(count) <=
         ToSeconds(Remaining(start_by, now)) * rate;
}

}  // namespace

WaitQueue::Order WaitQueue::OrderOf(const WaitRequest& request,
                                    TimePoint deadline, uint64_t arrival) {
  return {.standing = request.standing,
          .less_urgent = request.less_urgent,
          .is_new = !request.returns_as_asked,
          .deadline = deadline,
          .arrival = arrival};
}

WaitVerdict WaitQueue::Offer(const WaitRequest& request, const SlotFlow& flow,
                             TimePoint now, TimePoint next_check) {
  const double rate = flow.freed_per_second;
  if (rate < kMinRate) return WaitVerdict::kNoRate;
  if (flow.offered_per_second > kMaxOverload * rate) {
    return WaitVerdict::kOverload;
  }
  if (size() >= kMaxWaiting) return WaitVerdict::kQueueFull;
  if (request.standing == Standing::kBeyondShare && !empty() &&
      by_order_.begin()->first.standing == Standing::kWithinShare) {
    return WaitVerdict::kBeyondShare;
  }
  const Order order = OrderOf(request, request.deadline, ++arrivals_);
  const auto ahead = static_cast<size_t>(
      std::distance(by_order_.begin(), by_order_.lower_bound(order)));
  if (next_check >= request.start_by ||
      !BecomeFree(ahead + 1, request.start_by, rate, now)) {
    return WaitVerdict::kTooLong;
  }
  by_order_.emplace(order, request);
  orders_.emplace(request.id, order);
  return WaitVerdict::kWaits;
}

bool WaitQueue::Remove(ExchangeId id) {
  const auto found = orders_.find(id);
  if (found == orders_.end()) return false;
  by_order_.erase(found->second);
  orders_.erase(found);
  return true;
}

// A waiting request is compared with the slots ahead of it only, not with its
// own: when it came, that one was expected within its time, and rejecting it at
// each short pause of the rate would serve nobody.
std::vector<WaitQueue::Rejected> WaitQueue::TakeHopeless(const SlotFlow& flow,
                                                         TimePoint now,
                                                         TimePoint next_check) {
  const double rate = flow.freed_per_second;
  std::vector<Rejected> rejected;
  size_t ahead = 0;
  const bool any_within_share =
      !empty() && by_order_.begin()->first.standing == Standing::kWithinShare;
  for (const auto& [order, request] : by_order_) {
    if (order.standing == Standing::kBeyondShare && any_within_share) {
      rejected.push_back({request.id, WaitVerdict::kBeyondShare});
    } else if (rate < kMinRate) {
      rejected.push_back({request.id, WaitVerdict::kNoRate});
    } else if (next_check >= request.start_by ||
               !BecomeFree(ahead, request.start_by, rate, now)) {
      rejected.push_back({request.id, WaitVerdict::kTooLong});
    } else {
      ++ahead;
    }
  }
  for (const Rejected& one : rejected) Remove(one.id);
  return rejected;
}

std::vector<ExchangeId> WaitQueue::Ids() const {
  std::vector<ExchangeId> ids;
  ids.reserve(size());
  for (const auto& [order, request] : by_order_) ids.push_back(request.id);
  return ids;
}

std::vector<ExchangeId> WaitQueue::IdsBefore(const WaitRequest& request) const {
  const auto end = by_order_.lower_bound(OrderOf(request, kNever, 0));
  std::vector<ExchangeId> ids;
  for (auto at = by_order_.begin(); at != end; ++at)
    ids.push_back(at->second.id);
  return ids;
}

}  // namespace knapweedstile::admission
