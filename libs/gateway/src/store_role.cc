#include "store_role.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "users_platform/store_names.h"

namespace knapweedstile::gateway {
namespace {

// Evacuation requests are written a few times a year and end the watch at once.
// Each watch is a call to the store, so it waits long.
constexpr std::chrono::milliseconds kWatchWait{20000};
constexpr std::chrono::milliseconds kReportTimeout{1500};
constexpr std::chrono::milliseconds kReportRetryDelay{300};

}  // namespace

StoreRole::StoreRole(boost::asio::io_context& io,
                     const GatewaySettings& settings)
    : io_(io),
      name_(settings.name),
      store_(io, settings.store_address),
      mirror_(
          io, store_,
          {.kind = users_platform::kEvacuationKind, .watch_wait = kWatchWait},
          {.listed =
               [this](std::vector<platform::StoredObject>&& objects) {
                 for (const auto& object : objects) OnEvacuationRequest(object);
               },
           .changed =
               [this](platform::StoredObject&& object) {
                 if (!object.deleted) OnEvacuationRequest(object);
               }}) {}

void StoreRole::OnEvacuationRequest(const platform::StoredObject& object) {
  if (object.name != name_ || evacuation_reported_) return;
  LogInfo("evacuation_requested", {{"revision", object.version}});
  ReportEvacuation(object.version);
}

void StoreRole::ReportEvacuation(uint64_t version) {
  store_.WriteStatus(
      users_platform::kEvacuationKind, name_, version,
      users_platform::kEvacuationDone, MonotonicNow() + kReportTimeout,
      [this, version](platform::StoreAnswer&& answer) {
        if (answer.outcome == platform::StoreOutcome::kOk) {
          evacuation_reported_ = true;
          return LogInfo("evacuation_reported");
        }
        LogWarning("evacuation_report_failed",
                   {{"outcome", NameOf(answer.outcome)}});
        if (answer.outcome == platform::StoreOutcome::kNotFound) return;
        const uint64_t present = answer.version != 0 ? answer.version : version;
        auto timer =
            std::make_shared<boost::asio::steady_timer>(io_, kReportRetryDelay);
        timer->async_wait([this, timer, present](const auto& ec) {
          if (!ec) ReportEvacuation(present);
        });
      });
}

}  // namespace knapweedstile::gateway
