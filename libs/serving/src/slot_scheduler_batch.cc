#include <algorithm>

#include "serving/slot_scheduler.h"
#include "slot_scheduler_pick.h"

// Room for batch items on the backend servers, and how it is shared.
namespace knapweedstile::serving {
namespace {

// Online demand moves within seconds; finer samples would add nothing.
constexpr std::chrono::milliseconds kDemandPeriod{100};
constexpr char kBuiltIn[] = "default";

}  // namespace

void SlotScheduler::SetSharing(
    BackendServerId id, const std::optional<decide::SharingPolicy>& sharing) {
  Server* server = FindServer(id);
  if (!server) return;
  if (!sharing) {
    server->sharing.reset();
    return;
  }
  if (!server->sharing) server->sharing.emplace();
  // The history stays: a rule that comes into force knows the recent past.
  server->sharing->policy = sharing->name;
  server->sharing->rule = decide::MakeSharingRule(*sharing);
}

void SlotScheduler::ObserveDemand(TimePoint now) {
  if (now - demand_sampled_at_ < kDemandPeriod) return;
  demand_sampled_at_ = now;
  for (auto& [id, server] : servers_) {
    if (server.sharing) server.sharing->demand.Observe(server.online());
  }
}

decide::BatchLimit SlotScheduler::LimitOf(const Server& server) const {
  const uint32_t slots = server.record.slots;
  if (!server.sharing) {
    const uint32_t most = slots - std::min(slots, settings_.batch_reserve);
    return {.start = most, .keep = slots};
  }
  return decide::LimitOf(server.sharing->rule, slots,
                         server.sharing->demand.At(server.online()));
}

uint32_t SlotScheduler::BatchHeadroom(const Server& server) const {
  const uint32_t slots = server.record.slots;
  const uint32_t usual =
      server.in_cell ? settings_.batch_reserve : settings_.remote_batch_reserve;
  const uint32_t reserve = server.sharing ? 0 : usual;
  const uint32_t taken = server.total() + reserve;
  const uint32_t free = taken < slots ? slots - taken : 0;
  const uint32_t most = LimitOf(server).start;
  return server.batch() < most ? std::min(free, most - server.batch()) : 0;
}

BackendServerId SlotScheduler::PlaceBatch(
    std::string_view service, std::span<const BackendServerId> excluded,
    TimePoint now) {
  for (const Locality reach : {Locality::kSameCell, Locality::kOtherCell}) {
    const auto room = [this, reach](const Server& server) {
      if (!HasLocality(server, reach)) return 0.0;
      return BatchHeadroom(server) * ZoneFactor(server);
    };
    const Server* server = PickWeighted(service, excluded, now, room);
    if (server) return server->id;
  }
  return {};
}

double SlotScheduler::TotalBatchHeadroom(std::string_view service,
                                         Locality reach, TimePoint now) const {
  uint32_t room = 0;
  for (const auto& [id, server] : servers_) {
    if (!HasLocality(server, reach) || !Usable(server, service, {})) continue;
    if (server.backoff_until <= now) room += BatchHeadroom(server);
  }
  return room;
}

uint32_t SlotScheduler::BatchBudget(std::string_view service, size_t entries,
                                    TimePoint now) const {
  const size_t all = std::max<size_t>(entries, 1);
  const size_t near =
      gateways_in_cell_ == 0 ? all : std::min(all, gateways_in_cell_);
  constexpr double kMostOfRoom = 0.5;
  const double share = TotalBatchHeadroom(service, Locality::kSameCell, now) /
                           static_cast<double>(near) +
                       TotalBatchHeadroom(service, Locality::kOtherCell, now) /
                           static_cast<double>(all);
  return 1 + static_cast<uint32_t>(kMostOfRoom * share);
}

// Failure guarded against: two entries take the last free slot in the same
// milliseconds, and one of the two requests waits until something ends there,
// half a second beside batch items. Entries with items there draw lots, so that
// in the mean one item gives way for each request that waits.
std::vector<BackendServerId> SlotScheduler::ServersToPreempt(TimePoint now) {
  std::vector<BackendServerId> chosen;
  for (auto& [id, server] : servers_) {
    if (server.total() <= server.record.slots) {
      server.oversubscribed_since = kNever;
      continue;
    }
    server.oversubscribed_since = std::min(server.oversubscribed_since, now);
    if (now - server.oversubscribed_since < settings_.oversubscription_grace)
      continue;
    if (server.own_usage.batch == 0 || server.online() == 0) continue;
    const double excess = server.total() - server.record.slots;
    const double share = excess * server.own_usage.batch / server.batch();
    if (UniformUnit(rng_) < share) chosen.push_back(id);
  }
  return chosen;
}

std::vector<BackendServerId> SlotScheduler::ServersOverBatchLimit() const {
  std::vector<BackendServerId> beyond;
  for (const auto& [id, server] : servers_) {
    if (!server.sharing || server.own_usage.batch == 0) continue;
    if (server.batch() > LimitOf(server).keep) beyond.push_back(id);
  }
  return beyond;
}

std::string_view SlotScheduler::SharingPolicyName(BackendServerId id) const {
  const auto found = servers_.find(id);
  const bool named = found != servers_.end() && found->second.sharing;
  if (!named) return kBuiltIn;
  return found->second.sharing->policy;
}

}  // namespace knapweedstile::serving
