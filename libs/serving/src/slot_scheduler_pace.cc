#include <algorithm>

#include "serving/slot_scheduler.h"

// How the pace of the backend servers affects where requests go.
namespace knapweedstile::serving {

void SlotScheduler::ObservePace(BackendServerId id, PaceSample sample) {
  const Server* server = FindServer(id);
  if (!server || server->removed) return;
  sample.load =
      static_cast<double>(server->total()) / std::max(server->record.slots, 1U);
  pace_.Observe(server->process, sample);
}

void SlotScheduler::OnAttemptServed(BackendServerId id, TimePoint now) {
  const Server* server = FindServer(id);
  if (server && !server->removed) pace_.OnServed(server->process, now);
}

void SlotScheduler::OnAttemptFailed(BackendServerId id, TimePoint now) {
  const Server* server = FindServer(id);
  if (server && !server->removed) pace_.OnFailed(server->process, now);
}

ServerProcessId SlotScheduler::Process(BackendServerId id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? ServerProcessId() : found->second.process;
}

double SlotScheduler::PaceWeight(const Server& server) const {
  if (!pace_.differs()) return 1;
  return pace_.WeightOf(server.process, server.own_usage.total(),
                        PreferredPace::kFast);
}

double SlotScheduler::BatchPaceWeight(const Server& server, TimePoint now,
                                      TimePoint due_at) const {
  if (!pace_.differs()) return 1;
  const double duration = ToSeconds(settings_.typical_item_duration) *
                          pace_.SlownessOf(server.process);
  const bool has_time =
      ToSeconds(due_at - now) > duration * settings_.item_slack;
  return pace_.WeightOf(server.process, server.own_usage.total(),
                        has_time ? PreferredPace::kSlow : PreferredPace::kFast);
}

bool SlotScheduler::Avoided(const Server& server) const {
  return pace_.differs() &&
         pace_.StandingOf(server.process) == ServerStanding::kAvoided;
}

}  // namespace knapweedstile::serving
