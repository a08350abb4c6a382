#include "serving/slot_board.h"

#include <algorithm>
#include <set>
#include <utility>

#include "slot_draw.h"

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

SlotBoard::SlotBoard(SlotBoardSettings settings, std::string own_zone,
                     uint64_t seed)
    : settings_(settings), own_zone_(std::move(own_zone)), rng_(seed) {}

// Failure guarded against: a server that crashed is back under its old name,
// and the counts, failures and avoidance of its former process would stand for
// the new one, which holds nothing. The former process stays as a server of its
// own that is gone, until the requests that it took have ended.
void SlotBoard::RetireFormerProcess(const ServerRecord& record) {
  const auto known = by_instance_.find(record.instance);
  if (known == by_instance_.end()) return;
  const uint64_t start = servers_[known->second].record.start;
  const bool restarted =
      start != 0 && record.start != 0 && record.start != start;
  if (restarted) Remove(record.instance);
}

void SlotBoard::Upsert(const ServerRecord& record) {
  RetireFormerProcess(record);
  auto [known, is_new] = by_instance_.try_emplace(record.instance);
  if (is_new) known->second = BackendServerId(++last_id_);
  Server& server = servers_[known->second];
  server.id = known->second;
  server.record = record;
  server.near = cell_.Holds(record);
  Index(server);
}

void SlotBoard::Index(Server& server) {
  const ServerProcessId process = ProcessOf(server.record);
  if (server.process == process) return;
  by_process_.erase(server.process);
  server.process = process;
  by_process_[process] = server.id;
  SumReports();
}

void SlotBoard::Remove(std::string_view instance) {
  const auto known = by_instance_.find(std::string(instance));
  if (known == by_instance_.end()) return;
  Server& server = servers_[known->second];
  server.gone = true;
  server.others = {};
  by_process_.erase(server.process);
  if (server.own.total() == 0) servers_.erase(known->second);
  by_instance_.erase(known);
}

void SlotBoard::SetCell(const Cell& cell, size_t entries) {
  cell_ = cell;
  entries_in_cell_ = entries;
  for (auto& [id, server] : servers_) server.near = cell_.Holds(server.record);
}

size_t SlotBoard::EntriesInCell() const {
  return entries_in_cell_ == 0 ? reports_.size() + 1 : entries_in_cell_;
}

void SlotBoard::Retain(std::span<const ServerRecord> records) {
  std::set<std::string> kept;
  for (const ServerRecord& record : records) kept.insert(record.instance);
  std::vector<std::string> removed;
  for (const auto& [instance, id] : by_instance_) {
    if (!kept.contains(instance)) removed.push_back(instance);
  }
  for (const std::string& instance : removed) Remove(instance);
}

SlotBoard::Server* SlotBoard::FindServer(BackendServerId id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

void SlotBoard::Started(BackendServerId id, TrafficClass traffic) {
  if (Server* server = FindServer(id)) ++CountOf(server->own, traffic);
}

void SlotBoard::Ended(BackendServerId id, TrafficClass traffic) {
  Server* server = FindServer(id);
  if (!server) return;
  uint32_t& count = CountOf(server->own, traffic);
  if (count > 0) --count;
  if (server->gone && server->own.total() == 0) servers_.erase(id);
}

void SlotBoard::ObserveDuration(BackendServerId id, Duration duration) {
  const Server* server = FindServer(id);
  if (!server) return;
  const double seconds = ToSeconds(duration);
  auto [mean, is_new] =
      mean_seconds_.try_emplace(server->record.service, seconds);
  if (!is_new) mean->second += kDurationWeight * (seconds - mean->second);
}

void SlotBoard::Avoid(Server& server, Duration time, TimePoint now) {
  server.avoid_until = std::max(server.avoid_until, now + time);
}

void SlotBoard::ReportUnreachable(BackendServerId id, TimePoint now) {
  Server* server = FindServer(id);
  if (!server) return;
  constexpr uint32_t kMostDoublings = 6;
  const Duration time = settings_.shortest_avoidance *
                        (1U << std::min(server->failures, kMostDoublings));
  ++server->failures;
  Avoid(*server, std::min<Duration>(time, settings_.longest_avoidance), now);
}

void SlotBoard::ReportFull(BackendServerId id, TimePoint now) {
  if (Server* server = FindServer(id)) {
    Avoid(*server, settings_.full_avoidance, now);
  }
}

void SlotBoard::ReportGood(BackendServerId id) {
  Server* server = FindServer(id);
  if (!server) return;
  server->failures = 0;
  server->avoid_until = TimePoint{};
}

bool SlotBoard::Usable(const Server& server, std::string_view service,
                       std::span<const BackendServerId> excluded) const {
  return !server.gone && !server.record.draining &&
         server.record.service == service &&
         std::find(excluded.begin(), excluded.end(), server.id) ==
             excluded.end();
}

bool SlotBoard::Better(const Server& a, uint32_t use_a, const Server& b,
                       uint32_t use_b) {
  if (use_a != use_b) return use_a < use_b;
  const bool near_a = a.record.availability_zone == own_zone_;
  const bool near_b = b.record.availability_zone == own_zone_;
  if (near_a != near_b) return near_a;
  return UniformBelow(rng_, 2) == 0;
}

// Avoided servers come last: they are tried only when there is no other.
SlotBoard::Server* SlotBoard::LeastUsed(
    std::string_view service, std::span<const BackendServerId> excluded,
    TimePoint now) {
  Server* best = nullptr;
  bool best_avoided = false;
  for (auto& [id, server] : servers_) {
    if (!Usable(server, service, excluded)) continue;
    const bool avoided = server.avoid_until > now;
    const bool better = !best || (best_avoided && !avoided) ||
                        (best_avoided == avoided &&
                         Better(server, server.total(), *best, best->total()));
    if (!better) continue;
    best = &server;
    best_avoided = avoided;
  }
  return best;
}

double SlotBoard::ZoneFactor(const Server& server) const {
  return server.record.availability_zone == own_zone_
             ? settings_.own_zone_factor
             : 1.0;
}

Placement SlotBoard::Displace(Server& server) {
  Placement placement{.outcome = PlacementOutcome::kPlaced,
                      .server = server.id,
                      .displaces_batch = true};
  if (server.own.batch > 0) return placement;
  for (auto& [entry, report] : reports_) {
    const auto usage = report.usage.find(server.process);
    if (usage == report.usage.end() || usage->second.batch == 0) continue;
    --usage->second.batch;
    --server.others.batch;
    placement.displaced_entry = entry;
    return placement;
  }
  return placement;
}

Placement SlotBoard::Queue(Server& server, Duration objective) {
  const auto mean = mean_seconds_.find(server.record.service);
  const double seconds = mean == mean_seconds_.end()
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
bool SlotBoard::Scarce(std::string_view service, TimePoint now) const {
  const auto rate = others_rate_.find(std::string(service));
  if (rate == others_rate_.end()) return false;
  const Duration delay = settings_.word_delay +
                         settings_.word_delay_per_entry * (EntriesInCell() - 1);
  const double taken = rate->second.At(now) * ToSeconds(delay);
  uint32_t free = 0;
  for (const auto& [id, server] : servers_) {
    if (!server.near || !Usable(server, service, {})) continue;
    if (server.avoid_until > now) continue;
    free += server.record.slots - std::min(server.record.slots, server.total());
  }
  return free < settings_.scarce_factor * taken;
}

SlotCount SlotBoard::CountSlots(std::string_view service, TimePoint now) const {
  SlotCount count;
  for (const auto& [id, server] : servers_) {
    if (!Usable(server, service, {}) || server.avoid_until > now) continue;
    count.all += server.record.slots;
    if (server.total() < server.record.slots) {
      count.free += server.record.slots - server.total();
    }
  }
  return count;
}

double SlotBoard::FreeWeight(const Server& server, uint32_t reserve) const {
  const uint32_t taken = server.total() + reserve;
  if (taken >= server.record.slots) return 0;
  return (server.record.slots - taken) * ZoneFactor(server);
}

double SlotBoard::BatchWeight(const Server& server) const {
  if (server.online() >= server.record.slots) return 0;
  const bool queue = server.total() > server.record.slots;
  return server.batch() * (queue ? kQueuedBatchFactor : 1.0);
}

Placement SlotBoard::PlaceOnline(std::string_view service, Duration objective,
                                 std::span<const BackendServerId> excluded,
                                 TimePoint now) {
  const auto own_batch = [](const Server& server) {
    const bool certain = server.total() <= server.record.slots;
    return certain ? static_cast<double>(server.own.batch) : 0.0;
  };
  if (Scarce(service, now)) {
    if (Server* server = Draw(service, excluded, now, own_batch)) {
      return Displace(*server);
    }
  }
  const auto draw_free = [&](Reach reach, uint32_t reserve) {
    return Draw(service, excluded, now, [&](const Server& server) {
      return Within(server, reach) ? FreeWeight(server, reserve) : 0.0;
    });
  };
  const auto draw_batch = [&](Reach reach) {
    return Draw(service, excluded, now, [&](const Server& server) {
      return Within(server, reach) ? BatchWeight(server) : 0.0;
    });
  };
  const auto take = [](const Server& server) {
    return Placement{.outcome = PlacementOutcome::kPlaced, .server = server.id};
  };
  if (Server* server = draw_free(Reach::kCell, 0)) return take(*server);
  if (Server* server = draw_free(Reach::kBeyond, settings_.far_reserve)) {
    return take(*server);
  }
  if (Server* server = draw_batch(Reach::kCell)) return Displace(*server);
  if (Server* server = draw_free(Reach::kBeyond, 0)) return take(*server);
  if (Server* server = draw_batch(Reach::kBeyond)) return Displace(*server);
  Server* least = LeastUsed(service, excluded, now);
  if (!least) {
    return {.outcome = PlacementOutcome::kNoServer,
            .retry_after = settings_.shortest_avoidance};
  }
  return Queue(*least, objective);
}

uint32_t SlotBoard::Excess(BackendServerId id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return 0;
  const Server& server = found->second;
  return server.total() > server.record.slots
             ? server.total() - server.record.slots
             : 0;
}

const ServerRecord* SlotBoard::Record(BackendServerId id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second.record;
}

const ServerRecord* SlotBoard::RecordOf(ServerProcessId process) const {
  const auto known = by_process_.find(process);
  return known == by_process_.end() ? nullptr : Record(known->second);
}

BackendServerId SlotBoard::Find(std::string_view instance) const {
  const auto known = by_instance_.find(std::string(instance));
  return known == by_instance_.end() ? BackendServerId() : known->second;
}

ServerUsage SlotBoard::UsageOf(BackendServerId id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return {};
  return {found->second.online(), found->second.batch()};
}

std::vector<BackendServerId> SlotBoard::Servers() const {
  std::vector<BackendServerId> ids;
  ids.reserve(servers_.size());
  for (const auto& [id, server] : servers_) ids.push_back(id);
  return ids;
}

UsageByProcess SlotBoard::OwnUsage() const {
  UsageByProcess usage;
  for (const auto& [id, server] : servers_) {
    if (server.own.total() > 0) {
      usage.emplace(server.process, server.own);
    }
  }
  return usage;
}

}  // namespace knapweedstile::serving
