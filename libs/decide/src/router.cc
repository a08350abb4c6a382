#include "router.h"

#include <algorithm>
#include <cmath>

#include "decide/entry_settings.h"
#include "router_server.h"

namespace knapweedstile::decide {
namespace {

// Online requests sent beyond the slots, as a share of them: they cover the
// time between a slot's end and the next request's arrival there.
constexpr double kAheadShare = 0.25;
// Weight of a running batch stream beside an online request: batch gives way,
// but cancelling it costs work, so a server without it goes first.
constexpr double kBatchWeight = 0.25;
// Requests a second that other entries may have added since a server's report:
// of two servers that look alike, the one seen later is the better guess.
// Ground in docs/design/entry-decisions.md; 16 was the same as 6 within noise.
constexpr double kUnseenPerSecond = 6;
// What another availability zone costs, in requests waiting: a round trip of
// 3 ms against service times of 100 ms and more. Only breaks near ties.
constexpr double kOtherZoneCost = 0.25;
// A prefix stays on its home while that is loaded at most this much above the
// mean (bounded loads: Mirrokni, Thorup, Zadimoghaddam 2018). To be measured.
constexpr double kAffinityBound = 1.25;
// Prefixes looked up for one prompt, longest first.
constexpr size_t kMostLookups = 8;
// At most one server in this many is left out for being slow: when more seem
// slow the comparison is at fault, not the servers.
constexpr size_t kServersPerEjection = 3;

// The usual time to first output is the upper quartile of the servers' means,
// so that a few fast ones (cached by other entries' requests) do not make the
// rest look slow. It is computed again after this many answers.
constexpr double kUsualQuantile = 0.75;
constexpr uint32_t kAnswersPerUsual = 16;

// A random-looking order of servers for each prefix. Entries agree on it when
// they number the servers alike, as with ids made from the servers' names.
uint64_t Mix(uint64_t prefix, BackendServerId server) {
  uint64_t x = prefix ^ (server.value() * 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 32)) * 0xD6E8FEB86659FD93ULL;
  x = (x ^ (x >> 32)) * 0xD6E8FEB86659FD93ULL;
  return x ^ (x >> 32);
}

bool Contains(std::span<const BackendServerId> ids, BackendServerId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

Router::Router(const EntrySettings& settings, uint64_t seed)
    : rules_(settings.rules), rng_(seed) {}

void Router::Add(RouterServer* server) { servers_.push_back(server); }

void Router::Remove(BackendServerId id) {
  std::erase_if(servers_, [id](const RouterServer* server) {
    return server->id() == id;
  });
}

RouterServer* Router::Choose(TimePoint now, const RouterRequest& request) {
  if (!rules_.least_outstanding) return TakeTurn(now, request);
  chose_home_ = false;
  CollectCandidates(now, request);
  const bool by_prefix =
      rules_.prefix_affinity && !request.prefix_hashes.empty();
  RouterServer* server = by_prefix ? TakeByPrefix(now, request) : nullptr;
  if (server == nullptr) server = TakeLessLoaded();
  if (by_prefix && server != nullptr) {
    prefixes_.Note(request.prefix_hashes, server->id());
  }
  return server;
}

RouterServer* Router::TakeLessLoaded() {
  if (candidates_.empty()) return nullptr;
  if (!rules_.two_choices) {
    return std::min_element(candidates_.begin(), candidates_.end(),
                            [](const Candidate& a, const Candidate& b) {
                              return a.score < b.score;
                            })
        ->server;
  }
  const size_t count = candidates_.size();
  const size_t first = UniformBelow(rng_, count);
  size_t second = UniformBelow(rng_, count);
  if (second == first) second = (second + 1) % count;
  const Candidate& a = candidates_[first];
  const Candidate& b = candidates_[second];
  return a.score <= b.score ? a.server : b.server;
}

RouterServer* Router::TakeByPrefix(TimePoint now,
                                   const RouterRequest& request) {
  const auto& prefixes = request.prefix_hashes;
  const size_t lookups = std::min(prefixes.size(), kMostLookups);
  for (size_t i = 0; i < lookups; ++i) {
    RouterServer* home =
        TakeHome(now, request, prefixes[prefixes.size() - 1 - i]);
    if (home == nullptr) continue;
    chose_home_ = true;
    return home;
  }
  return TakeByHash(prefixes.front());
}

RouterServer* Router::TakeHome(TimePoint now, const RouterRequest& request,
                               uint64_t prefix) const {
  for (const BackendServerId home : prefixes_.HomesOf(prefix)) {
    if (!rules_.bounded_affinity) {
      for (RouterServer* server : servers_) {
        if (server->id() == home && Usable(now, *server) &&
            !Contains(request.tried, home)) {
          return server;
        }
      }
      continue;
    }
    for (const Candidate& candidate : candidates_) {
      if (candidate.server->id() != home) continue;
      if (WithinBound(candidate)) return candidate.server;
      break;
    }
  }
  return nullptr;
}

RouterServer* Router::TakeByHash(uint64_t prefix) const {
  RouterServer* best = nullptr;
  uint64_t best_hash = 0;
  for (const Candidate& candidate : candidates_) {
    if (rules_.bounded_affinity && !WithinBound(candidate)) continue;
    const uint64_t hash = Mix(prefix, candidate.server->id());
    if (best != nullptr && hash <= best_hash) continue;
    best = candidate.server;
    best_hash = hash;
  }
  return best;
}

bool Router::WithinBound(const Candidate& candidate) const {
  return candidate.score <= kAffinityBound * mean_score_;
}

bool Router::Usable(TimePoint now, const RouterServer& server) const {
  if (!server.Open(now)) return false;
  if (!rules_.slow_server_ejection) return true;
  if (server.pace().Ejected(now)) return false;
  return !server.pace().probing() || server.own() == 0;
}

void Router::OnFirstOutput(TimePoint now, RouterServer& server,
                           Duration after) {
  if (!rules_.slow_server_ejection) return;
  server.pace().OnFirstOutput(now, after, UsualSeconds(), MayEject(now));
}

void Router::OnLate(TimePoint now, RouterServer& server) {
  if (!rules_.slow_server_ejection) return;
  server.pace().OnLate(now, MayEject(now));
}

bool Router::MayEject(TimePoint now) const {
  const auto ejected = static_cast<size_t>(std::count_if(
      servers_.begin(), servers_.end(), [now](const RouterServer* server) {
        return server->pace().Ejected(now) || server->pace().probing();
      }));
  return (ejected + 1) * kServersPerEjection <= servers_.size();
}

std::optional<double> Router::UsualSeconds() {
  if (++answers_since_usual_ < kAnswersPerUsual) return usual_seconds_;
  answers_since_usual_ = 0;
  std::vector<double> means;
  for (const RouterServer* server : servers_) {
    const auto mean = server->pace().mean_seconds();
    if (mean) means.push_back(*mean);
  }
  if (means.size() < 2) return usual_seconds_ = std::nullopt;
  const auto place = static_cast<std::ptrdiff_t>(
      kUsualQuantile * static_cast<double>(means.size() - 1));
  std::nth_element(means.begin(), means.begin() + place, means.end());
  return usual_seconds_ = means[static_cast<size_t>(place)];
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
        if (!Usable(now, *server)) return false;
        if (traffic_class == TrafficClass::kBatch) {
          return HasFreeSlot(now, *server, traffic_class);
        }
        return !rules_.least_outstanding || MayTake(now, *server);
      });
}

RouterOccupancy Router::Occupancy(TimePoint now,
                                  TrafficClass traffic_class) const {
  RouterOccupancy occupancy;
  for (const RouterServer* server : servers_) {
    if (!Usable(now, *server) || !server->OpenFor(traffic_class, now)) continue;
    const double used = UsedBefore(now, *server, traffic_class);
    const double own = server->own(traffic_class);
    occupancy.free += std::max(0.0, server->slots() - used);
    occupancy.own += own;
    occupancy.others += used - own;
    occupancy.growth += server->OwnGrowth(traffic_class);
  }
  return occupancy;
}

double Router::UsedBefore(TimePoint now, const RouterServer& server,
                          TrafficClass traffic_class) const {
  const double online = LoadOf(now, server, TrafficClass::kOnline);
  if (traffic_class == TrafficClass::kOnline) return online;
  return online + LoadOf(now, server, TrafficClass::kBatch);
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
                      kUnseenPerSecond * ToSeconds(server.ReportAge(now)) +
                      (server.in_own_zone() ? 0 : kOtherZoneCost);
  return (load + 1) / server.slots();
}

bool Router::HasFreeSlot(TimePoint now, const RouterServer& server,
                         TrafficClass traffic_class) const {
  return server.OpenFor(traffic_class, now) &&
         UsedBefore(now, server, traffic_class) + 1 <= server.slots();
}

bool Router::MayTake(TimePoint now, const RouterServer& server) const {
  // One request each is always allowed: when other entries hold every slot,
  // their reports would otherwise keep this entry out for good. The gate beside
  // the server queues or refuses it.
  if (server.own(TrafficClass::kOnline) == 0) return true;
  const double limit = std::ceil(server.slots() * (1 + kAheadShare));
  return LoadOf(now, server, TrafficClass::kOnline) + 1 <= limit;
}

void Router::CollectCandidates(TimePoint now, const RouterRequest& request) {
  candidates_.clear();
  bool free_slot_seen = false;
  double sum = 0;
  size_t usable = 0;
  for (RouterServer* server : servers_) {
    if (!Usable(now, *server)) continue;
    const double score = Score(now, *server);
    sum += score;
    ++usable;
    if (Contains(request.tried, server->id())) continue;
    const bool free_slot = HasFreeSlot(now, *server, request.traffic_class);
    if (!free_slot) {
      const bool full = request.only_free_slot || free_slot_seen ||
                        request.traffic_class == TrafficClass::kBatch;
      if (full || !MayTake(now, *server)) continue;
    } else if (!free_slot_seen) {
      free_slot_seen = true;
      candidates_.clear();
    }
    candidates_.push_back({server, score});
  }
  mean_score_ = usable == 0 ? 0 : sum / static_cast<double>(usable);
}

RouterServer* Router::TakeTurn(TimePoint now, const RouterRequest& request) {
  for (size_t i = 0; i < servers_.size(); ++i) {
    RouterServer* server = servers_[turn_++ % servers_.size()];
    if (Usable(now, *server) && !Contains(request.tried, server->id())) {
      return server;
    }
  }
  return nullptr;
}

}  // namespace knapweedstile::decide
