#ifndef KNAPWEEDSTILE_GATEWAY_STANDING_LOG_H_
#define KNAPWEEDSTILE_GATEWAY_STANDING_LOG_H_

namespace knapweedstile::observe {
class Metrics;
}
namespace knapweedstile::serving {
class SlotScheduler;
}

namespace knapweedstile::gateway {

// Writes a line for each server that is avoided, put on probation or trusted
// again since the last call, a few at most.
void LogStandingChanges(serving::SlotScheduler& scheduler);

// Sets the gauges of the servers' pace and standing.
void SetPaceMetrics(const serving::SlotScheduler& scheduler,
                    observe::Metrics& metrics);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STANDING_LOG_H_
