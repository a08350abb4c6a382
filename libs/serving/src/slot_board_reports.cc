#include <string>
#include <vector>

#include "serving/slot_board.h"

// What other entries tell of their use of the backend servers.
namespace knapweedstile::serving {

void SlotBoard::ReportEntry(const std::string& entry,
                            const UsageByProcess& usage, TimePoint now) {
  Report& report = reports_[entry];
  report.expires_at = now + settings_.report_lifetime;
  std::vector<ServerProcessId> idle;
  for (const auto& [process, known] : report.usage) {
    if (!usage.contains(process)) idle.push_back(process);
  }
  for (const ServerProcessId process : idle) Apply(report, process, {}, now);
  for (const auto& [process, counts] : usage)
    Apply(report, process, counts, now);
}

void SlotBoard::UpdateEntry(const std::string& entry,
                            const UsageByProcess& changed, TimePoint now) {
  Report& report = reports_[entry];
  report.expires_at = now + settings_.report_lifetime;
  for (const auto& [process, counts] : changed) {
    Apply(report, process, counts, now);
  }
}

SlotBoard::Server* SlotBoard::FindProcess(ServerProcessId process) {
  const auto known = by_process_.find(process);
  return known == by_process_.end() ? nullptr : FindServer(known->second);
}

void SlotBoard::Apply(Report& report, ServerProcessId process,
                      ServerUsage usage, TimePoint now) {
  ServerUsage& reported = report.usage[process];
  if (Server* server = FindProcess(process)) {
    if (server->near && usage.online > reported.online) {
      others_rate_[server->record.service].Add(usage.online - reported.online,
                                               now);
    }
    server->others.online += usage.online - reported.online;
    server->others.batch += usage.batch - reported.batch;
  }
  reported = usage;
  if (usage.total() == 0) report.usage.erase(process);
}

void SlotBoard::DropEntry(const std::string& entry) {
  if (reports_.erase(entry) > 0) SumReports();
}

// Failure guarded against: an entry that died keeps its slots counted as taken
// for ever, so the fleet looks fuller than it is. Its silence drops them.
void SlotBoard::ExpireReports(TimePoint now) {
  const size_t dropped = std::erase_if(
      reports_, [now](const auto& r) { return r.second.expires_at <= now; });
  if (dropped > 0) SumReports();
}

void SlotBoard::SumReports() {
  for (auto& [id, server] : servers_) server.others = {};
  for (const auto& [entry, report] : reports_) {
    for (const auto& [process, usage] : report.usage) {
      Server* server = FindProcess(process);
      if (!server) continue;
      server->others.online += usage.online;
      server->others.batch += usage.batch;
    }
  }
}

}  // namespace knapweedstile::serving
