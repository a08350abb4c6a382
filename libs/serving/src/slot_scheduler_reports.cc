#include <string>
#include <vector>

#include "serving/slot_scheduler.h"

// Usage of the backend servers as reported by peers.
namespace knapweedstile::serving {

void SlotScheduler::SetPeerUsage(const std::string& peer,
                                 const UsageByProcess& usage, TimePoint now) {
  PeerReport& report = peer_reports_[peer];
  report.expires_at = now + settings_.report_lifetime;
  std::vector<ServerProcessId> idle;
  for (const auto& [process, known] : report.usage) {
    if (!usage.contains(process)) idle.push_back(process);
  }
  for (const ServerProcessId process : idle)
    ApplyUsage(report, process, {}, now);
  for (const auto& [process, counts] : usage)
    ApplyUsage(report, process, counts, now);
}

void SlotScheduler::UpdatePeerUsage(const std::string& peer,
                                    const UsageByProcess& changed,
                                    TimePoint now) {
  PeerReport& report = peer_reports_[peer];
  report.expires_at = now + settings_.report_lifetime;
  for (const auto& [process, counts] : changed) {
    ApplyUsage(report, process, counts, now);
  }
}

SlotScheduler::Server* SlotScheduler::FindProcess(ServerProcessId process) {
  const auto known = by_process_.find(process);
  return known == by_process_.end() ? nullptr : FindServer(known->second);
}

void SlotScheduler::ApplyUsage(PeerReport& report, ServerProcessId process,
                               ServerUsage usage, TimePoint now) {
  ServerUsage& reported = report.usage[process];
  if (Server* server = FindProcess(process)) {
    if (server->in_cell && usage.online > reported.online) {
      peer_start_rate_[server->record.service].Add(
          usage.online - reported.online, now);
    }
    server->peer_usage.online += usage.online - reported.online;
    server->peer_usage.batch += usage.batch - reported.batch;
  }
  reported = usage;
  if (usage.total() == 0) report.usage.erase(process);
}

void SlotScheduler::RemovePeer(const std::string& peer) {
  pace_.RemovePeer(peer);
  if (peer_reports_.erase(peer) > 0) SumPeerUsage();
}

// Guards against a terminated gateway whose slots stay counted as taken, so
// that the fleet looks fuller than it is. Its usage expires without reports.
void SlotScheduler::ExpirePeerReports(TimePoint now) {
  const size_t expired = std::erase_if(peer_reports_, [now](const auto& r) {
    return r.second.expires_at <= now;
  });
  if (expired > 0) SumPeerUsage();
}

void SlotScheduler::SumPeerUsage() {
  for (auto& [id, server] : servers_) server.peer_usage = {};
  for (const auto& [peer, report] : peer_reports_) {
    for (const auto& [process, usage] : report.usage) {
      Server* server = FindProcess(process);
      if (!server) continue;
      server->peer_usage.online += usage.online;
      server->peer_usage.batch += usage.batch;
    }
  }
}

}  // namespace knapweedstile::serving
