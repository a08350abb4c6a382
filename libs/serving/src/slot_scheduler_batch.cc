#include <algorithm>

#include "serving/slot_scheduler.h"
#include "slot_scheduler_pick.h"

// Headroom for batch items on the backend servers, and how gateways share it.
namespace knapweedstile::serving {
namespace {

// Online demand changes within seconds, so a shorter period adds nothing.
constexpr std::chrono::milliseconds kDemandSamplePeriod{100};
constexpr char kDefaultPolicyName[] = "default";

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
  // The demand history is kept, so that a new policy starts with the recent
  // past.
  server->sharing->policy = sharing->name;
  server->sharing->rule = decide::MakeSharingRule(*sharing);
}

void SlotScheduler::ObserveDemand(TimePoint now) {
  if (now - demand_sampled_at_ < kDemandSamplePeriod) return;
  demand_sampled_at_ = now;
  for (auto& [id, server] : servers_) {
    if (server.sharing) server.sharing->demand.Observe(server.online());
  }
}

decide::BatchLimit SlotScheduler::LimitOf(const Server& server) const {
  const uint32_t slots = server.record.slots;
  if (!server.sharing) {
    const uint32_t max_batch = slots - std::min(slots, settings_.batch_reserve);
    return {.start = max_batch, .keep = slots};
  }
  return decide::LimitOf(server.sharing->rule, slots,
                         server.sharing->demand.At(server.online()));
}

uint32_t SlotScheduler::BatchHeadroom(const Server& server) const {
  const uint32_t slots = server.record.slots;
  const uint32_t default_reserve =
      server.in_cell ? settings_.batch_reserve : settings_.remote_batch_reserve;
  const uint32_t reserve = server.sharing ? 0 : default_reserve;
  const uint32_t used = server.total() + reserve;
  const uint32_t free = used < slots ? slots - used : 0;
  const uint32_t max_batch = LimitOf(server).start;
  return server.batch() < max_batch ? std::min(free, max_batch - server.batch())
                                    : 0;
}

BackendServerId SlotScheduler::PlaceBatch(std::string_view service,
                                          const ServerFilter& filter,
                                          TimePoint now, TimePoint due_at) {
  for (const Locality locality : {Locality::kSameCell, Locality::kOtherCell}) {
    const auto headroom = [this, locality, now, due_at](const Server& server) {
      if (!HasLocality(server, locality)) return 0.0;
      return BatchHeadroom(server) * ZoneFactor(server) *
             BatchPaceWeight(server, now, due_at);
    };
    const Server* server = PickWeighted(service, filter, now, headroom);
    if (server) return server->id;
  }
  return {};
}

double SlotScheduler::TotalBatchHeadroom(std::string_view service,
                                         Locality locality,
                                         TimePoint now) const {
  uint32_t headroom = 0;
  for (const auto& [id, server] : servers_) {
    if (!HasLocality(server, locality) || !Usable(server, service, {}))
      continue;
    if (server.backoff_until <= now) headroom += BatchHeadroom(server);
  }
  return headroom;
}

uint32_t SlotScheduler::BatchBudget(std::string_view service, size_t gateways,
                                    TimePoint now) const {
  const size_t in_fleet = std::max<size_t>(gateways, 1);
  const size_t in_cell =
      gateways_in_cell_ == 0 ? in_fleet : std::min(in_fleet, gateways_in_cell_);
  constexpr double kMaxHeadroomShare = 0.5;
  const double share = TotalBatchHeadroom(service, Locality::kSameCell, now) /
                           static_cast<double>(in_cell) +
                       TotalBatchHeadroom(service, Locality::kOtherCell, now) /
                           static_cast<double>(in_fleet);
  return 1 + static_cast<uint32_t>(kMaxHeadroomShare * share);
}

// Guards against an online request that waits behind batch items: two gateways
// take the last free slot within the same milliseconds, and one of the two
// requests waits until another request ends, half a second next to batch items.
// Each gateway with items there decides at random, with a probability that
// preempts one item per waiting request on average.
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
  std::vector<BackendServerId> over_limit;
  for (const auto& [id, server] : servers_) {
    if (!server.sharing || server.own_usage.batch == 0) continue;
    if (server.batch() > LimitOf(server).keep) over_limit.push_back(id);
  }
  return over_limit;
}

std::string_view SlotScheduler::SharingPolicyName(BackendServerId id) const {
  const auto found = servers_.find(id);
  const bool named = found != servers_.end() && found->second.sharing;
  if (!named) return kDefaultPolicyName;
  return found->second.sharing->policy;
}

}  // namespace knapweedstile::serving
