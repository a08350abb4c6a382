#ifndef KNAPWEEDSTILE_DECIDE_ROUTER_H_
#define KNAPWEEDSTILE_DECIDE_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/time.h"
#include "base/traffic_class.h"
#include "decide/entry_rules.h"

namespace knapweedstile::decide {

class RouterServer;

// One request as the router sees it.
struct RouterRequest {
  TrafficClass traffic_class = TrafficClass::kOnline;
  std::span<const uint64_t> prefix_hashes;
  // Servers it was sent to already: never chosen again.
  std::span<const BackendServerId> tried;
  // Only a server with a free slot will do (hedges and batch).
  bool only_free_slot = false;
};

// Picks the backend server of a request among those of one target that this
// entry knows (its subset).
//
// Load pattern: many servers whose load is known late and in part. Least
// outstanding work of all would send every entry to the same server between two
// reports; random choice leaves long lines beside idle servers. Two random
// candidates, the less loaded one taken, avoids both (Mitzenmacher 2001).
class Router {
 public:
  Router(const EntryRules& rules, uint64_t seed);

  // Commands.
  void Add(RouterServer* server);
  void Remove(BackendServerId id);
  // The server to send to, or none when all are busy, closed or tried.
  RouterServer* Choose(TimePoint now, const RouterRequest& request);
  // The open server on which this entry has least; none when all were tried.
  RouterServer* LeastOwn(TimePoint now,
                         std::span<const BackendServerId> tried) const;

  // Queries.
  // Servers that are in, closed or not.
  size_t InCount() const;
  // True when a server is in that the request was not sent to yet.
  bool HasUntried(std::span<const BackendServerId> tried) const;
  bool HasRoom(TimePoint now, TrafficClass traffic_class) const;
  // Free slots that batch could use now.
  size_t FreeSlots(TimePoint now) const;
  // Online requests that can be with the servers at once, for this entry.
  double OnlineWindow(TimePoint now) const;

 private:
  struct Candidate {
    RouterServer* server = nullptr;
    double score = 0;
  };

  // How many of the class are there, own and others', as far as known.
  double LoadOf(TimePoint now, const RouterServer& server,
                TrafficClass traffic_class) const;
  double Score(TimePoint now, const RouterServer& server) const;
  bool HasFreeSlot(TimePoint now, const RouterServer& server,
                   TrafficClass traffic_class) const;
  bool MayTake(TimePoint now, const RouterServer& server) const;
  void CollectCandidates(TimePoint now, const RouterRequest& request);
  RouterServer* TakeTurn(TimePoint now, const RouterRequest& request);

  const EntryRules& rules_;
  Rng rng_;
  std::vector<RouterServer*> servers_;
  std::vector<Candidate> candidates_;  // kept to avoid allocation
  size_t turn_ = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ROUTER_H_
