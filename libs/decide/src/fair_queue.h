#ifndef KNAPWEEDSTILE_DECIDE_FAIR_QUEUE_H_
#define KNAPWEEDSTILE_DECIDE_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/id.h"
#include "fair_queue_order.h"

namespace knapweedstile::decide {

// The flow a request waits in.
struct FairQueueKey {
  uint64_t workspace = 0;
  uint64_t caller = 0;
};

// Requests of one target and one traffic class that wait in this entry: fair
// between workspaces by weight, then between the callers of a workspace; in
// order of arrival for one caller.
//
// Load pattern: one caller or workspace sends many times its share. Without it
// (one first-in-first-out line) everyone waits behind that caller's backlog.
// Work-conserving: a flow alone in the queue gets all of the service.
class FairQueue {
 public:
  void Push(FairQueueKey key, double weight, RequestId request, double cost);
  // The next request to serve of a flow that `may_go` accepts, charged to it.
  template <typename MayGo>
  std::optional<RequestId> Pop(const MayGo& may_go);
  // A request that no longer waits: cancelled, or its deadline has passed.
  void Remove(FairQueueKey key, RequestId request);

  size_t size() const noexcept { return size_; }
  bool empty() const noexcept { return size_ == 0; }
  size_t WaitingOf(uint64_t workspace) const;
  size_t WaitingOf(FairQueueKey key) const;
  // About how many requests are served before one that arrived now in this
  // flow; an upper bound when the other flows are shorter than this one.
  double AheadOf(FairQueueKey key, double weight) const;

 private:
  struct Item {
    RequestId request;
    double cost = 1;
  };
  struct Workspace {
    FairQueueOrder callers;
    std::unordered_map<uint64_t, std::deque<Item>> lines;
    size_t waiting = 0;
  };

  RequestId Take(FairQueueKey key);

  FairQueueOrder workspaces_;
  std::unordered_map<uint64_t, Workspace> waiting_;
  size_t size_ = 0;
};

template <typename MayGo>
std::optional<RequestId> FairQueue::Pop(const MayGo& may_go) {
  FairQueueKey key;
  const auto workspace_may_go = [&](uint64_t workspace) {
    const auto caller =
        waiting_.at(workspace).callers.First([&](uint64_t candidate) {
          return may_go(FairQueueKey{workspace, candidate});
        });
    if (caller) key = {workspace, *caller};
    return caller.has_value();
  };
  if (!workspaces_.First(workspace_may_go)) return std::nullopt;
  return Take(key);
}

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_FAIR_QUEUE_H_
