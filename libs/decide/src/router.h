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
#include "router_prefixes.h"

namespace knapweedstile::decide {

class RouterServer;
struct EntryRules;
struct EntrySettings;

// One request as the router sees it.
struct RouterRequest {
  TrafficClass traffic_class = TrafficClass::kOnline;
  std::span<const uint64_t> prefix_hashes;
  // Servers it was sent to already: never chosen again.
  std::span<const BackendServerId> tried;
  // Only a server with a free slot will do (hedges and batch).
  bool only_free_slot = false;
};

// What is taken and free on the usable servers together.
struct RouterOccupancy {
  double free = 0;
  double own = 0;     // requests of this entry
  double others = 0;  // of other entries, as far as reported
  double growth = 0;  // of `own` since the servers' last reports
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
  Router(const EntrySettings& settings, uint64_t seed);

  // Commands.
  void Add(RouterServer* server);
  void Remove(BackendServerId id);
  // The server to send to, or none when all are busy, closed or tried.
  RouterServer* Choose(TimePoint now, const RouterRequest& request);
  // First output of an attempt came `after` its dispatch. Not to be called for
  // one that went to a home of its prefix: cached prompts are answered many
  // times faster, which would make servers without them look slow.
  void OnFirstOutput(TimePoint now, RouterServer& server, Duration after);
  // An attempt there is later than nearly all answers of the target.
  void OnLate(TimePoint now, RouterServer& server);
  // The open server on which this entry has least; none when all were tried.
  RouterServer* LeastOwn(TimePoint now,
                         std::span<const BackendServerId> tried) const;

  // Queries.
  // Whether the last choice was a server that had the prompt's prefix before.
  bool chose_home() const noexcept { return chose_home_; }
  // Servers that are in, closed or not.
  size_t InCount() const;
  // True when a server is in that the request was not sent to yet.
  bool HasUntried(std::span<const BackendServerId> tried) const;
  bool HasRoom(TimePoint now, TrafficClass traffic_class) const;
  // Slots and requests that count for the class: online does not see batch.
  RouterOccupancy Occupancy(TimePoint now, TrafficClass traffic_class) const;

 private:
  struct Candidate {
    RouterServer* server = nullptr;
    double score = 0;
  };

  // How many of the class are there, own and others', as far as known.
  double LoadOf(TimePoint now, const RouterServer& server,
                TrafficClass traffic_class) const;
  // The load that goes before one more of the class.
  double UsedBefore(TimePoint now, const RouterServer& server,
                    TrafficClass traffic_class) const;
  double Score(TimePoint now, const RouterServer& server) const;
  bool HasFreeSlot(TimePoint now, const RouterServer& server,
                   TrafficClass traffic_class) const;
  bool MayTake(TimePoint now, const RouterServer& server) const;
  void CollectCandidates(TimePoint now, const RouterRequest& request);
  RouterServer* TakeTurn(TimePoint now, const RouterRequest& request);
  RouterServer* TakeLessLoaded();
  RouterServer* TakeByPrefix(TimePoint now, const RouterRequest& request);
  RouterServer* TakeHome(TimePoint now, const RouterRequest& request,
                         uint64_t prefix) const;
  // The candidate that all entries would pick for a prefix unknown here.
  RouterServer* TakeByHash(uint64_t prefix) const;
  bool WithinBound(const Candidate& candidate) const;
  bool Usable(TimePoint now, const RouterServer& server) const;
  bool MayEject(TimePoint now) const;
  std::optional<double> UsualSeconds();

  const EntryRules& rules_;
  Rng rng_;
  std::vector<RouterServer*> servers_;
  std::vector<Candidate> candidates_;  // kept to avoid allocation
  double mean_score_ = 0;  // over the usable servers, at the last choice
  RouterPrefixes prefixes_;
  bool chose_home_ = false;
  std::optional<double> usual_seconds_;
  uint32_t answers_since_usual_ = 0;
  size_t turn_ = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ROUTER_H_
