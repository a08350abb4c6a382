#include "serving/slot_scheduler.h"

#include <algorithm>
#include <set>
#include <utility>

#include "slot_scheduler_pick.h"

namespace knapweedstile::serving {
namespace {

// Weight of one request in the running mean of durations: some twenty requests
// of memory, a fraction of a second at the usual rates.
constexpr double kDurationWeight = 0.05;

// Where more than the slots are outstanding the displaced item may be waiting
// itself, and its place behind others is worth little.
constexpr double kQueuedBatchFactor = 0.02;

uint32_t& CountOf(ServerUsage& usage, TrafficClass traffic) {
  return traffic == TrafficClass::kOnline ? usage.online : usage.batch;
}

}  // namespace

SlotScheduler::SlotScheduler(SlotSchedulerSettings settings,
                             std::string own_zone, uint64_t seed)
    : settings_(settings), own_zone_(std::move(own_zone)), rng_(seed) {}

// Failure guarded against: a server that crashed is back under its old name,
// and the counts, failures and avoidance of its former process would stand for
// the new one, which holds nothing. The former process stays as a server of its
// own that is gone, until the requests that it took have ended.
void SlotScheduler::RetireFormerProcess(const ServerRecord& record) {
  const auto known = by_instance_.find(record.instance);
  if (known == by_instance_.end()) return;
  const uint64_t start = servers_[known->second].record.start;
  const bool restarted =
      start != 0 && record.start != 0 && record.start != start;
  if (restarted) Remove(record.instance);
}

void SlotScheduler::Upsert(const ServerRecord& record) {
  RetireFormerProcess(record);
  auto [known, is_new] = by_instance_.try_emplace(record.instance);
  if (is_new) known->second = BackendServerId(++last_id_);
  Server& server = servers_[known->second];
  server.id = known->second;
  server.record = record;
  server.in_cell = cell_.Contains(record);
  IndexProcess(server);
}

void SlotScheduler::IndexProcess(Server& server) {
  const ServerProcessId process = ProcessOf(server.record);
  if (server.process == process) return;
  by_process_.erase(server.process);
  server.process = process;
  by_process_[process] = server.id;
  SumPeerUsage();
}

void SlotScheduler::Remove(std::string_view instance) {
  const auto known = by_instance_.find(std::string(instance));
  if (known == by_instance_.end()) return;
  Server& server = servers_[known->second];
  server.removed = true;
  server.peer_usage = {};
  by_process_.erase(server.process);
  if (server.own_usage.total() == 0) servers_.erase(known->second);
  by_instance_.erase(known);
}

void SlotScheduler::SetCell(const Cell& cell, size_t entries) {
  cell_ = cell;
  gateways_in_cell_ = entries;
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

void SlotScheduler::BackOff(Server& server, Duration time, TimePoint now) {
  server.backoff_until = std::max(server.backoff_until, now + time);
}

void SlotScheduler::MarkUnreachable(BackendServerId id, TimePoint now) {
  Server* server = FindServer(id);
  if (!server) return;
  constexpr uint32_t kMostDoublings = 6;
  const Duration time = settings_.min_backoff *
                        (1U << std::min(server->failures, kMostDoublings));
  ++server->failures;
  BackOff(*server, std::min<Duration>(time, settings_.max_backoff), now);
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
                           std::span<const BackendServerId> excluded) const {
  return !server.removed && !server.record.draining &&
         server.record.service == service &&
         std::find(excluded.begin(), excluded.end(), server.id) ==
             excluded.end();
}

bool SlotScheduler::IsPreferred(const Server& a, uint32_t use_a,
                                const Server& b, uint32_t use_b) {
  if (use_a != use_b) return use_a < use_b;
  const bool near_a = a.record.availability_zone == own_zone_;
  const bool near_b = b.record.availability_zone == own_zone_;
  if (near_a != near_b) return near_a;
  return UniformBelow(rng_, 2) == 0;
}

// Avoided servers come last: they are tried only when there is no other.
SlotScheduler::Server* SlotScheduler::LeastUsed(
    std::string_view service, std::span<const BackendServerId> excluded,
    TimePoint now) {
  Server* best = nullptr;
  bool best_avoided = false;
  for (auto& [id, server] : servers_) {
    if (!Usable(server, service, excluded)) continue;
    const bool avoided = server.backoff_until > now;
    const bool better =
        !best || (best_avoided && !avoided) ||
        (best_avoided == avoided &&
         IsPreferred(server, server.total(), *best, best->total()));
    if (!better) continue;
    best = &server;
    best_avoided = avoided;
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
  for (auto& [entry, report] : peer_reports_) {
    const auto usage = report.usage.find(server.process);
    if (usage == report.usage.end() || usage->second.batch == 0) continue;
    --usage->second.batch;
    --server.peer_usage.batch;
    placement.preempted_peer = entry;
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
  const double position_seconds = seconds / slots;
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
  // Spread over the time that the backlog needs, so that those refused in one
  // moment do not come back in one moment.
  const double backlog = std::max(ahead * position_seconds, 2 * allowed);
  placement.retry_after = FromSeconds(backlog * (0.5 + UniformUnit(rng_)));
  return placement;
}

// Failure guarded against: when few slots are free, others take the same one
// before their word arrives, and of two requests one waits for a whole run. A
// slot that this entry itself holds for a batch item is certain. Few are as
// many as others take meanwhile, as observed: with a fixed tenth of the slots,
// which is about what batch leaves free, each online request of four entries
// cut an item off though slots were free (843 cuts for 380 items on one played
// day).
bool SlotScheduler::FreeSlotsAreScarce(std::string_view service,
                                       TimePoint now) const {
  const auto rate = peer_start_rate_.find(std::string(service));
  if (rate == peer_start_rate_.end()) return false;
  const Duration delay =
      settings_.report_delay +
      settings_.report_delay_per_peer * (GatewaysInCell() - 1);
  const double taken = rate->second.At(now) * ToSeconds(delay);
  uint32_t free = 0;
  for (const auto& [id, server] : servers_) {
    if (!server.in_cell || !Usable(server, service, {})) continue;
    if (server.backoff_until > now) continue;
    free += server.record.slots - std::min(server.record.slots, server.total());
  }
  return free < settings_.scarce_factor * taken;
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
  const uint32_t taken = server.total() + reserve;
  if (taken >= server.record.slots) return 0;
  return (server.record.slots - taken) * ZoneFactor(server);
}

double SlotScheduler::PreemptionWeight(const Server& server) const {
  if (server.online() >= server.record.slots) return 0;
  const bool queue = server.total() > server.record.slots;
  return server.batch() * (queue ? kQueuedBatchFactor : 1.0);
}

Placement SlotScheduler::PlaceOnline(std::string_view service,
                                     Duration objective,
                                     std::span<const BackendServerId> excluded,
                                     TimePoint now) {
  const auto own_batch = [](const Server& server) {
    const bool certain = server.total() <= server.record.slots;
    return certain ? static_cast<double>(server.own_usage.batch) : 0.0;
  };
  if (FreeSlotsAreScarce(service, now)) {
    if (Server* server = PickWeighted(service, excluded, now, own_batch)) {
      return PreemptBatch(*server);
    }
  }
  const auto draw_free = [&](Locality reach, uint32_t reserve) {
    return PickWeighted(service, excluded, now, [&](const Server& server) {
      return HasLocality(server, reach) ? FreeWeight(server, reserve) : 0.0;
    });
  };
  const auto draw_batch = [&](Locality reach) {
    return PickWeighted(service, excluded, now, [&](const Server& server) {
      return HasLocality(server, reach) ? PreemptionWeight(server) : 0.0;
    });
  };
  const auto take = [](const Server& server) {
    return Placement{.outcome = PlacementOutcome::kPlaced, .server = server.id};
  };
  if (Server* server = draw_free(Locality::kSameCell, 0)) return take(*server);
  if (Server* server =
          draw_free(Locality::kOtherCell, settings_.remote_reserve)) {
    return take(*server);
  }
  if (Server* server = draw_batch(Locality::kSameCell))
    return PreemptBatch(*server);
  if (Server* server = draw_free(Locality::kOtherCell, 0)) return take(*server);
  if (Server* server = draw_batch(Locality::kOtherCell))
    return PreemptBatch(*server);
  Server* least = LeastUsed(service, excluded, now);
  if (!least) {
    return {.outcome = PlacementOutcome::kNoServer,
            .retry_after = settings_.min_backoff};
  }
  return PlaceInQueue(*least, objective);
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
