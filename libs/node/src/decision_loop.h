#ifndef KNAPWEEDSTILE_NODE_DECISION_LOOP_H_
#define KNAPWEEDSTILE_NODE_DECISION_LOOP_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "base/clock.h"
#include "base/time.h"

namespace knapweedstile::node {

// What the decision thread runs: a node that is woken when it asks to be.
template <typename Node>
concept DecisionNode = requires(Node& node, const Node& view, TimePoint now) {
  node.OnTick(now);
  { view.NextWake() } -> std::same_as<TimePoint>;
};

// Calls OnTick when the node wants it. Events arrive by other handlers on the
// same thread; each of them calls Rearm afterwards, since it may have moved the
// time of the next wake.
template <DecisionNode Node>
class DecisionLoop {
 public:
  DecisionLoop(boost::asio::io_context& io, Node& node,
               std::function<void()> after_tick)
      : timer_(io), node_(node), after_tick_(std::move(after_tick)) {}

  void Rearm() {
    const TimePoint wake = node_.NextWake();
    if (armed_ && wake >= armed_until_) return;
    armed_ = true;
    armed_until_ = wake;
    timer_.expires_at(wake);
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      armed_ = false;
      node_.OnTick(MonotonicNow());
      after_tick_();
      // A wake that is already due still lets the other handlers run first.
      Rearm();
    });
  }

 private:
  boost::asio::steady_timer timer_;
  Node& node_;
  std::function<void()> after_tick_;
  bool armed_ = false;
  TimePoint armed_until_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_DECISION_LOOP_H_
