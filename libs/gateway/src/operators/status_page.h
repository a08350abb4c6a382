#ifndef KNAPWEEDSTILE_GATEWAY_STATUS_PAGE_H_
#define KNAPWEEDSTILE_GATEWAY_STATUS_PAGE_H_

#include <string>

#include "observe/timeline.h"
#include "serving/slot_scheduler.h"

namespace knapweedstile::gateway {

class PolicyView;
struct GatewaySettings;

// The state of one gateway as JSON, for `knapctl status`.
std::string RenderStatus(const GatewaySettings& settings, bool draining,
                         uint64_t configuration,
                         const serving::SlotScheduler& scheduler,
                         const PolicyView& policies);

// The timeline's events after sequence number `after` and the wall clock that
// they refer to as JSON, for `knapctl timeline`.
std::string RenderTimeline(const std::string& node,
                           const observe::Timeline& timeline, uint64_t after);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STATUS_PAGE_H_
