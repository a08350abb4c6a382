#ifndef KNAPWEEDSTILE_SOAK_FAULT_KIND_H_
#define KNAPWEEDSTILE_SOAK_FAULT_KIND_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::soak {

// Operations and faults that the test applies to the deployment. Routine
// operations come first; no request may fail because of them.
enum class FaultKind : uint8_t {
  kChangeConfiguration,
  kDrainServer,
  kStopGateway,
  kReloadGateway,
  kAddServer,
  // Unplanned faults follow.
  kKillGateway,
  kKillAllGateways,
  kPauseGateway,
  kJumpClock,
  kCutStoreLink,
  kFreezeStoreLink,
  kFreezeStoreAnswers,
  kSilenceOpenStoreLinks,
  kDelayStoreLink,
  kDropStoreAnswers,
  kCutServerLink,
  kFreezeServerLink,
  kSilenceOpenServerLinks,
  kDelayServerLink,
  kCutCallerLink,
  kFreezeCallerLink,
  kStoreBusy,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreWritesLate,
  kStoreForgetsHistory,
  kServerRefuses,
  kServerFails,
  kServerBreaksStream,
  kServerAnswersForeign,
  kServerAnswersUnsigned,
  kServerRestarts,
  kServerAddressReused,
  kServerVanishes,
  kBurstOfJobs,
  kServersCrash,     // a share of all servers at one moment; comes in waves
  kSplitRoutes,      // divides the routes of engines between two services anew
  kServiceDrained,   // all servers of the second service leave
  kServiceLost,      // all servers of the second service crash
  kWriteUnanswered,  // one write of a job is done at once or late, unanswered
};

inline constexpr auto kFirstUnplanned = FaultKind::kKillGateway;
// The kinds from here on have schedules of their own.
inline constexpr auto kFirstScheduledApart = FaultKind::kServersCrash;

}  // namespace knapweedstile::soak

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 40> kEnumNames<soak::FaultKind> =
    {"change_configuration",
     "drain_server",
     "stop_gateway",
     "reload_gateway",
     "add_server",
     "kill_gateway",
     "kill_all_gateways",
     "pause_gateway",
     "jump_clock",
     "cut_store_link",
     "freeze_store_link",
     "freeze_store_answers",
     "silence_open_store_links",
     "delay_store_link",
     "drop_store_answers",
     "cut_server_link",
     "freeze_server_link",
     "silence_open_server_links",
     "delay_server_link",
     "cut_caller_link",
     "freeze_caller_link",
     "store_busy",
     "store_silent",
     "store_loses_answers",
     "store_writes_late",
     "store_forgets_history",
     "server_refuses",
     "server_fails",
     "server_breaks_stream",
     "server_answers_foreign",
     "server_answers_unsigned",
     "server_restarts",
     "server_address_reused",
     "server_vanishes",
     "burst_of_jobs",
     "servers_crash",
     "split_routes",
     "service_drained",
     "service_lost",
     "write_unanswered"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_SOAK_FAULT_KIND_H_
