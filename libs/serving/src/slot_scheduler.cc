#include "serving/slot_scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

#include "slot_scheduler_pick.h"

namespace knapweedstile::serving {
namespace {

// Weight of one request in the running mean of durations: the mean covers about
// twenty requests, a fraction of a second at usual rates.
constexpr double kDurationWeight = 0.05;

// Factor on the preemption weight of an oversubscribed server. The preempted
// item may itself be queued there, so that preempting it frees no slot and
// moves the request up by one position only.
constexpr double kOversubscribedFactor = 0.02;

uint32_t& CountOf(ServerUsage& usage, TrafficClass traffic) {
  return traffic == TrafficClass::kOnline ? usage.online : usage.batch;
}

}  // namespace

SlotScheduler::SlotScheduler(SlotSchedulerSettings settings,
                             std::string own_zone, uint64_t seed)
    : settings_(settings), own_zone_(std::move(own_zone)), rng_(seed) {}

// Keeps usage, failures and backoff of a crashed process apart from those of
// the process that restarts, idle, under the same name. The previous process is
// kept as a separate, removed server until its requests have ended.
void SlotScheduler::RemovePreviousProcess(const ServerRecord& record) {
  const auto known = by_instance_.find(record.instance);
  if (known == by_instance_.end()) return;
  const uint64_t start = servers_[known->second].record.start;
  const bool restarted =
      start != 0 && record.start != 0 && record.start != start;
  if (restarted) Remove(record.instance);
}

void SlotScheduler::Upsert(const ServerRecord& record) {
  RemovePreviousProcess(record);
  auto [known, is_new] = by_instance_.try_emplace(record.instance);
  if (is_new) known->second = BackendServerId(++last_id_);
  Server& server = servers_[known->second];
  server.id = known->second;
  server.record = record;
  server.in_cell = cell_.Contains(record);
  ++registrations_;
  IndexProcess(server);
}

void SlotScheduler::IndexProcess(Server& server) {
  const ServerProcessId process = ProcessOf(server.record);
  pace_.Add(process, server.record.service);
  if (server.process == process) return;
  by_process_.erase(server.process);
  pace_.Remove(server.process);
  server.process = process;
  by_process_[process] = server.id;
  SumPeerUsage();
}

void SlotScheduler::Remove(std::string_view instance) {
  const auto known = by_instance_.find(std::string(instance));
  if (known == by_instance_.end()) return;
  Server& server = servers_[known->second];
  server.removed = true;
  ++registrations_;
  server.peer_usage = {};
  by_process_.erase(server.process);
  pace_.Remove(server.process);
  if (server.own_usage.total() == 0) servers_.erase(known->second);
  by_instance_.erase(known);
}

void SlotScheduler::SetCell(const Cell& cell, size_t gateways) {
  cell_ = cell;
  gateways_in_cell_ = gateways;
  for (auto& [id, server] : servers_)
    server.in_cell = cell_.Contains(server.record);
}

size_t SlotScheduler::GatewaysInCell() const {
  return gateways_in_cell_ == 0 ? peer_reports_.size() + 1 : gateways_in_cell_;
}

void SlotScheduler::Retain(std::span<const ServerRecord> records) {
  std::set<std::string> kept;
  for (const ServerRecord& record : records) kept.insert(record.instance);
  std::vector<std::string> removed;
  for (const auto& [instance, id] : by_instance_) {
    if (!kept.contains(instance)) removed.push_back(instance);
  }
  for (const std::string& instance : removed) Remove(instance);
}

SlotScheduler::Server* SlotScheduler::FindServer(BackendServerId id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

void SlotScheduler::OnRequestStarted(BackendServerId id, TrafficClass traffic) {
  if (Server* server = FindServer(id)) ++CountOf(server->own_usage, traffic);
}

void SlotScheduler::OnRequestEnded(BackendServerId id, TrafficClass traffic) {
  Server* server = FindServer(id);
  if (!server) return;
  uint32_t& count = CountOf(server->own_usage, traffic);
  if (count > 0) --count;
  if (server->removed && server->own_usage.total() == 0) servers_.erase(id);
}

void SlotScheduler::ObserveDuration(BackendServerId id, Duration duration) {
  const Server* server = FindServer(id);
  if (!server) return;
  const double seconds = ToSeconds(duration);
  auto [mean, is_new] =
      mean_duration_seconds_.try_emplace(server->record.service, seconds);
  if (!is_new) mean->second += kDurationWeight * (seconds - mean->second);
}

void SlotScheduler::BackOff(Server& server, Duration duration, TimePoint now) {
  server.backoff_until = std::max(server.backoff_until, now + duration);
}

void SlotScheduler::MarkUnreachable(BackendServerId id, TimePoint now) {
  Server* server = FindServer(id);
  if (!server) return;
  constexpr uint32_t kMaxDoublings = 6;
  const Duration duration =
      settings_.min_backoff * (1U << std::min(server->failures, kMaxDoublings));
  ++server->failures;
  BackOff(*server, std::min<Duration>(duration, settings_.max_backoff), now);
}

void SlotScheduler::MarkFull(BackendServerId id, TimePoint now) {
  if (Server* server = FindServer(id)) {
    BackOff(*server, settings_.full_backoff, now);
  }
}

void SlotScheduler::MarkReachable(BackendServerId id) {
  Server* server = FindServer(id);
  if (!server) return;
  server->failures = 0;
  server->backoff_until = TimePoint{};
}

bool SlotScheduler::Usable(const Server& server, std::string_view service,
                           const ServerFilter& filter) const {
  const bool right_version =
      filter.software.empty() || server.record.software == filter.software;
  return !server.removed && !server.record.draining &&
         server.record.service == service && right_version &&
         std::find(filter.excluded.begin(), filter.excluded.end(), server.id) ==
             filter.excluded.end();
}

bool SlotScheduler::HasServer(std::string_view service) const {
  return HasVersion(service, {});
}

bool SlotScheduler::HasVersion(std::string_view service,
                               std::string_view software) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& s) {
    return Usable(s.second, service, {.software = software});
  });
}

std::set<std::string> SlotScheduler::VersionsOf(
    std::string_view service) const {
  std::set<std::string> versions;
  for (const auto& [id, server] : servers_) {
    if (!server.removed && server.record.service == service)
      versions.insert(server.record.software);
  }
  return versions;
}

bool SlotScheduler::IsPreferred(const Server& a, double work_a, const Server& b,
                                double work_b) {
  if (work_a != work_b) return work_a < work_b;
  const bool own_zone_a = a.record.availability_zone == own_zone_;
  const bool own_zone_b = b.record.availability_zone == own_zone_;
  if (own_zone_a != own_zone_b) return own_zone_a;
  return UniformBelow(rng_, 2) == 0;
}

// Servers in backoff and avoided ones come last: they are used only when there
// is no other.
SlotScheduler::Server* SlotScheduler::LeastUsed(std::string_view service,
                                                const ServerFilter& filter,
                                                TimePoint now) {
  Server* best = nullptr;
  bool best_comes_last = false;
  const auto work = [this](const Server& server) {
    return server.total() * pace_.SlownessOf(server.process);
  };
  for (auto& [id, server] : servers_) {
    if (!Usable(server, service, filter)) continue;
    const bool comes_last = server.backoff_until > now || Avoided(server);
    const bool better = !best || (best_comes_last && !comes_last) ||
                        (best_comes_last == comes_last &&
                         IsPreferred(server, work(server), *best, work(*best)));
    if (!better) continue;
    best = &server;
    best_comes_last = comes_last;
  }
  return best;
}

double SlotScheduler::ZoneFactor(const Server& server) const {
  return server.record.availability_zone == own_zone_
             ? settings_.own_zone_factor
             : 1.0;
}

Placement SlotScheduler::PreemptBatch(Server& server) {
  Placement placement{.outcome = PlacementOutcome::kPlaced,
                      .server = server.id,
                      .preempts_batch = true};
  if (server.own_usage.batch > 0) return placement;
  for (auto& [peer, report] : peer_reports_) {
    const auto usage = report.usage.find(server.process);
    if (usage == report.usage.end() || usage->second.batch == 0) continue;
    --usage->second.batch;
    --server.peer_usage.batch;
    placement.preempted_peer = peer;
    return placement;
  }
  return placement;
}

Placement SlotScheduler::PlaceInQueue(Server& server, Duration objective) {
  const auto mean = mean_duration_seconds_.find(server.record.service);
  const double seconds = mean == mean_duration_seconds_.end()
                             ? ToSeconds(settings_.assumed_duration)
                             : mean->second;
  const uint32_t slots = std::max(server.record.slots, 1U);
  const double position_seconds =
      seconds * pace_.SlownessOf(server.process) / slots;
  const uint32_t ahead =
      server.total() >= slots ? server.total() - slots + 1 : 0;
  const double allowed =
      ToSeconds(objective) * settings_.queue_share_of_objective;
  Placement placement{.outcome = PlacementOutcome::kPlaced,
                      .server = server.id};
  if (ahead <= settings_.max_queued && ahead * position_seconds <= allowed) {
    return placement;
  }
  placement.outcome = PlacementOutcome::kSaturated;
  // Spread over the time that the backlog takes, so that requests rejected at
  // the same moment do not retry at the same moment.
  const double backlog = std::max(ahead * position_seconds, 2 * allowed);
  placement.retry_after = FromSeconds(backlog * (0.5 + UniformUnit(rng_)));
  return placement;
}

// Guards against collisions on the last free slots: peers take the same slot
// before their reports arrive, and one of two requests waits for a whole run.
// They cannot take the slot of one of this gateway's own batch items. Free
// slots are scarce if there are fewer than a multiple of what peers are
// expected to take within the report delay, by their observed rate of starts. A
// fixed threshold of a tenth of the slots would be about what batch leaves
// free: almost every online request would preempt an item although slots are
// free.
bool SlotScheduler::FreeSlotsAreScarce(std::string_view service,
                                       TimePoint now) const {
  const auto rate = peer_start_rate_.find(std::string(service));
  if (rate == peer_start_rate_.end()) return false;
  const Duration delay =
      settings_.report_delay +
      settings_.report_delay_per_peer * (GatewaysInCell() - 1);
  const double expected_starts = rate->second.At(now) * ToSeconds(delay);
  uint32_t free = 0;
  for (const auto& [id, server] : servers_) {
    if (!server.in_cell || !Usable(server, service, {})) continue;
    if (server.backoff_until > now || Avoided(server)) continue;
    free += server.record.slots - std::min(server.record.slots, server.total());
  }
  return free < settings_.scarce_factor * expected_starts;
}

SlotCount SlotScheduler::CountSlots(std::string_view service,
                                    TimePoint now) const {
  SlotCount count;
  for (const auto& [id, server] : servers_) {
    if (!Usable(server, service, {}) || server.backoff_until > now) continue;
    count.all += server.record.slots;
    if (server.total() < server.record.slots) {
      count.free += server.record.slots - server.total();
    }
  }
  return count;
}

double SlotScheduler::FreeWeight(const Server& server, uint32_t reserve) const {
  const uint32_t used = server.total() + reserve;
  if (used >= server.record.slots) return 0;
  return (server.record.slots - used) * ZoneFactor(server) * PaceWeight(server);
}

double SlotScheduler::PreemptionWeight(const Server& server) const {
  if (server.online() >= server.record.slots) return 0;
  const bool oversubscribed = server.total() > server.record.slots;
  return server.batch() * (oversubscribed ? kOversubscribedFactor : 1.0) *
         PaceWeight(server);
}

Placement SlotScheduler::PlaceOnline(std::string_view service,
                                     Duration objective,
                                     const ServerFilter& filter,
                                     TimePoint now) {
  const auto own_batch = [this](const Server& server) {
    const bool all_have_slots = server.total() <= server.record.slots;
    return all_have_slots ? server.own_usage.batch * PaceWeight(server) : 0.0;
  };
  if (FreeSlotsAreScarce(service, now)) {
    if (Server* server = PickWeighted(service, filter, now, own_batch)) {
      return PreemptBatch(*server);
    }
  }
  const auto pick_free = [&](Locality locality, uint32_t reserve) {
    return PickWeighted(service, filter, now, [&](const Server& server) {
      return HasLocality(server, locality) ? FreeWeight(server, reserve) : 0.0;
    });
  };
  const auto pick_batch = [&](Locality locality) {
    return PickWeighted(service, filter, now, [&](const Server& server) {
      return HasLocality(server, locality) ? PreemptionWeight(server) : 0.0;
    });
  };
  const auto place_on = [](const Server& server) {
    return Placement{.outcome = PlacementOutcome::kPlaced, .server = server.id};
  };
  if (Server* server = pick_free(Locality::kSameCell, 0))
    return place_on(*server);
  if (Server* server =
          pick_free(Locality::kOtherCell, settings_.remote_reserve)) {
    return place_on(*server);
  }
  if (Server* server = pick_batch(Locality::kSameCell))
    return PreemptBatch(*server);
  if (Server* server = pick_free(Locality::kOtherCell, 0))
    return place_on(*server);
  if (Server* server = pick_batch(Locality::kOtherCell))
    return PreemptBatch(*server);
  Server* least = LeastUsed(service, filter, now);
  if (!least) {
    return {.outcome = PlacementOutcome::kNoServer,
            .retry_after = settings_.min_backoff};
  }
  Placement queued = PlaceInQueue(*least, objective);
  if (queued.outcome != PlacementOutcome::kSaturated || !pace_.differs())
    return queued;
  // Rather than reject, use the slots that servers on probation have free.
  Server* spare = PickWeighted(service, filter, now, [&](const Server& s) {
    const bool on_probation =
        pace_.StandingOf(s.process) == ServerStanding::kOnProbation;
    return on_probation && s.total() < s.record.slots ? 1.0 : 0.0;
  });
  return spare ? place_on(*spare) : queued;
}

uint32_t SlotScheduler::Oversubscription(BackendServerId id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return 0;
  const Server& server = found->second;
  return server.total() > server.record.slots
             ? server.total() - server.record.slots
             : 0;
}

const ServerRecord* SlotScheduler::Record(BackendServerId id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second.record;
}

const ServerRecord* SlotScheduler::RecordByProcess(
    ServerProcessId process) const {
  const auto known = by_process_.find(process);
  return known == by_process_.end() ? nullptr : Record(known->second);
}

BackendServerId SlotScheduler::Find(std::string_view instance) const {
  const auto known = by_instance_.find(std::string(instance));
  return known == by_instance_.end() ? BackendServerId() : known->second;
}

ServerUsage SlotScheduler::UsageOf(BackendServerId id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return {};
  return {found->second.online(), found->second.batch()};
}

std::vector<BackendServerId> SlotScheduler::Servers() const {
  std::vector<BackendServerId> ids;
  ids.reserve(servers_.size());
  for (const auto& [id, server] : servers_) ids.push_back(id);
  return ids;
}

UsageByProcess SlotScheduler::OwnUsage() const {
  UsageByProcess usage;
  for (const auto& [id, server] : servers_) {
    if (server.own_usage.total() > 0) {
      usage.emplace(server.process, server.own_usage);
    }
  }
  return usage;
}

}  // namespace knapweedstile::serving
