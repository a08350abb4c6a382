#ifndef KNAPWEEDSTILE_DECIDE_SRC_BATCH_SHARES_H_
#define KNAPWEEDSTILE_DECIDE_SRC_BATCH_SHARES_H_

#include <cstdint>
#include <map>
#include <tuple>

#include "gate_request.h"

namespace knapweedstile::decide {

// What each workspace, and each caller in it, has been served of the batch
// capacity, as start-time fair queueing counts it: the least served goes first.
//
// Load pattern: one workspace sends a hundred thousand items, another ten.
// Without it the ten wait behind the hundred thousand. Only owners with items
// in this gate are kept, so memory is bounded by the gate's own bounds; one
// that comes (back) begins at the least served owner's figure, so that idling
// earns no credit.
class BatchShares {
 public:
  // Smaller goes first.
  struct Rank {
    uint64_t workspace = 0;
    uint64_t caller = 0;

    bool operator<(const Rank& other) const {
      return std::tie(workspace, caller) <
             std::tie(other.workspace, other.caller);
    }
  };

  // Commands: an item of this owner has come to or left the gate.
  void OnItemIn(const BatchOwner& owner);
  void OnItemOut(const BatchOwner& owner);
  void Charge(const BatchOwner& owner, uint32_t tokens);
  void OnStarted(const BatchOwner& owner);
  void OnStopped(const BatchOwner& owner);

  // Queries.
  Rank RankOf(const BatchOwner& owner) const;
  // Slots that the owner's workspace holds now.
  uint32_t Running(const BatchOwner& owner) const;

 private:
  struct Share {
    uint64_t served = 0;  // tokens
    uint32_t items = 0;
  };
  struct Workspace {
    Share share;
    uint32_t running = 0;
    std::map<uint64_t, Share> callers;
  };

  std::map<uint64_t, Workspace> workspaces_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_SRC_BATCH_SHARES_H_
