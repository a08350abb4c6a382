#include "servers/standing_log.h"

#include <algorithm>

#include "base/log.h"
#include "observe/metrics.h"
#include "serving/slot_scheduler.h"

namespace knapweedstile::gateway {
namespace {

using serving::ServerStanding;

// Lines per call; a fleet that fails as a whole changes many standings at once.
constexpr size_t kMaxLines = 8;

std::string_view EventOf(ServerStanding standing) {
  switch (standing) {
    case ServerStanding::kAvoided:
      return "server_avoided";
    case ServerStanding::kOnProbation:
      return "server_on_probation";
    case ServerStanding::kTrusted:
      break;
  }
  return "server_restored";
}

}  // namespace

void LogStandingChanges(serving::SlotScheduler& scheduler) {
  const auto changes = scheduler.pace().TakeChanges();
  for (size_t i = 0; i < std::min(changes.size(), kMaxLines); ++i) {
    const serving::StandingChange& change = changes[i];
    const serving::ServerRecord* record =
        scheduler.RecordByProcess(change.process);
    const std::string address = record ? record->address : "-";
    const double slowness = scheduler.pace().SlownessOf(change.process);
    Log(change.standing == ServerStanding::kAvoided ? LogLevel::kWarning
                                                    : LogLevel::kInfo,
        EventOf(change.standing),
        {{"server", address},
         {"service", record ? record->service : "-"},
         {"failure_share", change.failure_share},
         {"slowness", slowness},
         {"more", i + 1 == kMaxLines ? changes.size() - kMaxLines : 0}});
  }
}

void SetPaceMetrics(const serving::SlotScheduler& scheduler,
                    observe::Metrics& metrics) {
  double slowest = 1;
  double fastest = 1;
  for (const BackendServerId id : scheduler.Servers()) {
    const double slowness = scheduler.pace().SlownessOf(scheduler.Process(id));
    slowest = std::max(slowest, slowness);
    fastest = std::min(fastest, slowness);
  }
  metrics.Set("knap_server_pace", slowest, {"slowest"});
  metrics.Set("knap_server_pace", fastest, {"fastest"});
  metrics.Set("knap_servers_avoided",
              static_cast<double>(scheduler.pace().CountAvoided()));
}

}  // namespace knapweedstile::gateway
