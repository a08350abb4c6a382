#ifndef KNAPWEEDSTILE_ADMISSION_WAIT_QUEUE_H_
#define KNAPWEEDSTILE_ADMISSION_WAIT_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/slot_flow.h"
#include "admission/wait_request.h"
#include "admission/wait_verdict.h"
#include "base/id.h"
#include "base/time.h"

namespace knapweedstile::admission {

// Requests that wait at the gateway for a slot of one service. Pure logic: the
// caller passes the time and the rate at which slots become free.
//
// Designed for bursts of two to four times the capacity that last for seconds.
// A queue that takes every request serves few of them in time: most wait in
// vain and are rejected when it is too late to go elsewhere. This one takes a
// request only if the slots ahead of it become free in time by the observed
// rate, and rejects a waiting one as soon as that is no longer so.
//
// Order: standing of the workspace, urgency, those that return as asked, then
// the earliest deadline. Requests beyond their share never wait while others
// do.
class WaitQueue {
 public:
  struct Rejected {
    ExchangeId id;
    WaitVerdict cause = WaitVerdict::kTooLong;
  };

  // After kWaits, the request is in the queue. None is taken whose time ends
  // before `next_check`.
  WaitVerdict Offer(const WaitRequest& request, const SlotFlow& flow,
                    TimePoint now, TimePoint next_check);
  // The request is placed, or its caller has left.
  bool Remove(ExchangeId id);
  // Removes the requests that will not be served in time, and those whose time
  // ends before `next_check`.
  std::vector<Rejected> TakeHopeless(const SlotFlow& flow, TimePoint now,
                                     TimePoint next_check);
  // In the order in which they are served.
  std::vector<ExchangeId> Ids() const;
  // Of these, the ones that go before a request that comes now: of the same
  // rank, those who wait are first.
  std::vector<ExchangeId> IdsBefore(const WaitRequest& request) const;

  size_t size() const noexcept { return by_order_.size(); }
  bool empty() const noexcept { return by_order_.empty(); }

 private:
  struct Order {
    Standing standing;
    bool less_urgent;
    bool is_new;
    TimePoint deadline;
    uint64_t arrival;

    // clang-tidy 14 takes the zero of a defaulted comparison for a null
    // pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Order&) const = default;
  };

  static Order OrderOf(const WaitRequest& request, TimePoint deadline,
                       uint64_t arrival);

  std::map<Order, WaitRequest> by_order_;
  std::unordered_map<ExchangeId, Order> orders_;
  uint64_t arrivals_ = 0;
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_WAIT_QUEUE_H_
