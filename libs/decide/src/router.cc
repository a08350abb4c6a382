#include "router.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "router_server.h"

namespace knapweedstile::decide {
namespace {

// Online requests sent beyond the slots, as a share of them: they cover the
// time between a slot's end and the next request's arrival there.
constexpr double kAheadShare = 0.25;
// Weight of a running batch stream beside an online request: batch gives way,
// but cancelling it costs work, so a server without it goes first.
constexpr double kBatchWeight = 0.25;
// What another availability zone costs, in requests waiting: a round trip of
// 3 ms against service times of 100 ms and more. Only breaks near ties.
constexpr double kOtherZoneCost = 0.25;

bool Contains(std::span<const BackendServerId> ids, BackendServerId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

Router::Router(const EntryRules& rules, uint64_t seed)
    : rules_(rules), rng_(seed) {}

void Router::Add(RouterServer* server) { servers_.push_back(server); }

void Router::Remove(BackendServerId id) {
  std::erase_if(servers_, [id](const RouterServer* server) {
    return server->id() == id;
  });
}

RouterServer* Router::Choose(TimePoint now, const RouterRequest& request) {
  if (!rules_.least_outstanding) return TakeTurn(now, request);
  CollectCandidates(now, request);
  if (candidates_.empty()) return nullptr;
  const size_t count = candidates_.size();
  const size_t first = UniformBelow(rng_, count);
  size_t second = UniformBelow(rng_, count);
  if (second == first) second = (second + 1) % count;
  const Candidate& a = candidates_[first];
  const Candidate& b = candidates_[second];
  return a.score <= b.score ? a.server : b.server;
}

RouterServer* Router::LeastOwn(TimePoint now,
                               std::span<const BackendServerId> tried) const {
  RouterServer* least = nullptr;
  for (RouterServer* server : servers_) {
    if (!server->Open(now) || Contains(tried, server->id())) continue;
    if (least == nullptr || server->own() < least->own()) least = server;
  }
  return least;
}

size_t Router::InCount() const {
  return static_cast<size_t>(
      std::count_if(servers_.begin(), servers_.end(),
                    [](const RouterServer* server) { return server->in(); }));
}

bool Router::HasUntried(std::span<const BackendServerId> tried) const {
  return std::any_of(servers_.begin(), servers_.end(),
                     [tried](const RouterServer* server) {
                       return server->in() && !Contains(tried, server->id());
                     });
}

bool Router::HasRoom(TimePoint now, TrafficClass traffic_class) const {
  return std::any_of(
      servers_.begin(), servers_.end(), [&](const RouterServer* server) {
        if (!server->Open(now)) return false;
        if (traffic_class == TrafficClass::kBatch) {
          return HasFreeSlot(now, *server, traffic_class);
        }
        return !rules_.least_outstanding || MayTake(now, *server);
      });
}

size_t Router::FreeSlots(TimePoint now) const {
  double free = 0;
  for (const RouterServer* server : servers_) {
    if (!server->Open(now)) continue;
    const double used = LoadOf(now, *server, TrafficClass::kOnline) +
                        LoadOf(now, *server, TrafficClass::kBatch);
    free += std::max(0.0, server->UsableSlots(now, rules_.slow_start) - used);
  }
  return static_cast<size_t>(free);
}

double Router::OnlineWindow(TimePoint now) const {
  double window = 0;
  for (const RouterServer* server : servers_) {
    if (!server->in()) continue;
    const double slots =
        server->UsableSlots(now, rules_.slow_start) * (1 + kAheadShare);
    const double others = server->others(TrafficClass::kOnline);
    window += std::max(1.0, slots - others);
  }
  return window;
}

double Router::LoadOf(TimePoint now, const RouterServer& server,
                      TrafficClass traffic_class) const {
  double others = server.others(traffic_class);
  // A missing report says nothing about the others; assume at least as much as
  // this entry has there, so that a silent server does not look idle.
  if (server.LoadIsOld(now)) {
    others = std::max<double>(others, server.own(traffic_class));
  }
  return server.own(traffic_class) + others;
}

double Router::Score(TimePoint now, const RouterServer& server) const {
  const double load = LoadOf(now, server, TrafficClass::kOnline) +
                      kBatchWeight * LoadOf(now, server, TrafficClass::kBatch) +
                      (server.same_zone() ? 0 : kOtherZoneCost);
  return (load + 1) / server.UsableSlots(now, rules_.slow_start);
}

bool Router::HasFreeSlot(TimePoint now, const RouterServer& server,
                         TrafficClass traffic_class) const {
  double used = LoadOf(now, server, TrafficClass::kOnline);
  if (traffic_class == TrafficClass::kBatch) {
    used += LoadOf(now, server, TrafficClass::kBatch);
  }
  return used + 1 <= server.UsableSlots(now, rules_.slow_start);
}

bool Router::MayTake(TimePoint now, const RouterServer& server) const {
  // One request each is always allowed: when other entries hold every slot,
  // their reports would otherwise keep this entry out for good. The gate beside
  // the server queues or refuses it.
  if (server.own(TrafficClass::kOnline) == 0) return true;
  const double limit =
      std::ceil(server.UsableSlots(now, rules_.slow_start) * (1 + kAheadShare));
  return LoadOf(now, server, TrafficClass::kOnline) + 1 <= limit;
}

void Router::CollectCandidates(TimePoint now, const RouterRequest& request) {
  candidates_.clear();
  bool free_slot_seen = false;
  for (RouterServer* server : servers_) {
    if (!server->Open(now) || Contains(request.tried, server->id())) continue;
    const bool free_slot = HasFreeSlot(now, *server, request.traffic_class);
    if (!free_slot) {
      const bool full = request.only_free_slot || free_slot_seen ||
                        request.traffic_class == TrafficClass::kBatch;
      if (full || !MayTake(now, *server)) continue;
    } else if (!free_slot_seen) {
      free_slot_seen = true;
      candidates_.clear();
    }
    candidates_.push_back({server, Score(now, *server)});
  }
}

RouterServer* Router::TakeTurn(TimePoint now, const RouterRequest& request) {
  for (size_t i = 0; i < servers_.size(); ++i) {
    RouterServer* server = servers_[turn_++ % servers_.size()];
    if (server->Open(now) && !Contains(request.tried, server->id())) {
      return server;
    }
  }
  return nullptr;
}

}  // namespace knapweedstile::decide
