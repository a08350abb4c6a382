#ifndef KNAPWEEDSTILE_DECIDE_FAIR_QUEUE_ORDER_H_
#define KNAPWEEDSTILE_DECIDE_FAIR_QUEUE_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace knapweedstile::decide {

// Start-time fair queueing over flows (Goyal, Vin, Cheng 1996): the active flow
// with the smallest virtual start is served next, and each service moves its
// start forward by cost / weight. One level of FairQueue.
//
// Load pattern: flows of very different demand. A flow that was idle starts at
// the present virtual time, so it neither saves up service nor is charged for
// having used capacity that nobody else wanted.
class FairQueueOrder {
 public:
  // The flow has something waiting. No effect when it is active already.
  void Activate(uint64_t flow, double weight);
  // The flow has nothing waiting any more, without having been served.
  void Deactivate(uint64_t flow);
  // An active flow was served; `more` says whether it stays active. It need not
  // be the first: flows that may not go now are passed over.
  void Serve(uint64_t flow, double cost, bool more);

  bool empty() const noexcept { return order_.empty(); }
  size_t active() const noexcept { return order_.size(); }
  double active_weight() const noexcept { return active_weight_; }
  // The first active flow that `may_go` accepts.
  template <typename MayGo>
  std::optional<uint64_t> First(const MayGo& may_go) const {
    for (const auto& [start, flow] : order_) {
      if (may_go(flow)) return flow;
    }
    return std::nullopt;
  }

 private:
  struct Flow {
    double start = 0;
    double weight = 1;
    bool active = false;
  };

  // Drops inactive flows whose start has been passed: they would start at the
  // present virtual time anyway. Bounds memory against callers that come once.
  void ForgetPassedFlows();

  std::unordered_map<uint64_t, Flow> flows_;
  std::set<std::pair<double, uint64_t>> order_;
  double virtual_time_ = 0;
  double active_weight_ = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_FAIR_QUEUE_ORDER_H_
