#include "gateway.h"

#include <fmt/format.h>

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "users_platform/configuration.h"
#include "users_platform/store_names.h"

namespace knapweedstile::gateway {
namespace {

// Housekeeping: deadlines of reads, starts of items, shared usage.
constexpr std::chrono::milliseconds kTick{20};
// Some half a second of a run; much finer would tell more than a lost entry
// costs.
constexpr uint64_t kProgressStep = 16;
// The balancer takes an entry out after two probes, a second apart; until then
// callers still come.
constexpr std::chrono::milliseconds kAcceptAfterStop{2800};
// Jobs that wait for news of the store ask for them together.
constexpr std::chrono::milliseconds kRecordsRefreshPause{100};
// For the last records to reach the other entries.
constexpr std::chrono::milliseconds kLastPushes{200};
// Left of the time before the kill for the last answers to be written.
constexpr std::chrono::milliseconds kLastWrites{400};
}  // namespace

Result<bool> Gateway::Start() {
  BOOST_LEAF_CHECK(pages_.Listen());
  BOOST_LEAF_CHECK(peers_.Listen(settings_.ip, settings_.peer_port));
  BOOST_LEAF_CHECK(
      push_.Listen(fmt::format("{}:{}", settings_.ip, settings_.peer_port)));
  BOOST_LEAF_CHECK(callers_.Listen(settings_.callers_address));
  store_.SetRelay(&relay_);
  push_.SetOtherHandler([this](http::RequestEvent&& request) {
    OnPeerRequest(std::move(request));
  });
  push_.SetGoneHandler(
      [this](ExchangeId exchange) { batch_.OnCallerGone(exchange); });
  store_.SetRegainedHandler([this] {
    follower_.OnStoreRegained();
    record_mirrors_.OnStoreRegained();
  });
  follower_.Start();
  ArmTick();
  return true;
}

void Gateway::OnPeerRequest(http::RequestEvent&& request) {
  if (JobForwarder::IsTarget(request.target)) return OnJobCall(request);
  if (NewsLink::IsTarget(request.target)) {
    follower_.OnNewsRequest(request);
  } else if (ProgressLink::IsTarget(request.target)) {
    progress_.OnRequest(request);
  } else {
    return relay_.OnRequest(request);
  }
  push_.Respond(request.exchange, {});
}

void Gateway::ToCaller(http::ServerCommand&& command) {
  const ExchangeId exchange =
      std::visit([](const auto& c) { return c.exchange; }, command);
  if (RecordPush::IsOwnExchange(exchange)) {
    return push_.Execute(std::move(command));
  }
  callers_.Execute(std::move(command));
}

bool Gateway::OnCallerEvent(http::ServerEvent&& event) {
  if (const auto* gone = std::get_if<http::DisconnectEvent>(&event)) {
    online_.OnCallerGone(gone->exchange);
    batch_.OnCallerGone(gone->exchange);
    forwarder_.OnCallerGone(gone->exchange);
    return true;
  }
  NoticePause();
  intake_.OnRequest(std::get<http::RequestEvent>(std::move(event)));
  return true;
}

void Gateway::OnServerRestarted(BackendServerId former,
                                const std::string& address) {
  connections_.CloseIdle(address);
  online_.OnServerRestarted(former);
  runner_.OnServerRestarted(former);
}

void Gateway::OnConfiguration(const platform::StoredObject& object) {
  if (object.name != users_platform::kConfigurationName) return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(configuration,
                        users_platform::ParseConfiguration(object.value));
        serving::RouteTable& table = configuration.routes;
        // Versions only rise: an older one never comes back into force.
        if (table.version <= routes_.version) return {};
        LogInfo(
            "configuration_in_force",
            {{"version", table.version},
             {"before", routes_.version},
             {"routes", table.routes.size()},
             {"workspaces",
              configuration.workspaces ? configuration.workspaces->size() : 0},
             {"revision", object.version}});
        routes_ = std::move(table);
        workspaces_.SetConfigured(std::move(configuration.workspaces));
        UpdateRateMembers();
        follower_.NoticeConfigurationAge(MonotonicNow());
        policies_.Attach();
        callers_.SetLimits(
            routes_.limits.max_header_bytes, routes_.limits.max_body_bytes,
            routes_.limits.header_timeout, routes_.limits.idle_timeout);
        return {};
      },
      [&](const Error& error) {
        LogError("configuration_refused", {{"revision", object.version},
                                           {"in_force", routes_.version},
                                           {"reason", error.message}});
      },
      [] {});
}

// Failure guarded against: an entry that lists its records after a crash, or
// has missed a push, does not know that a job has ended, and its items reach
// servers seconds after the caller was told so. What was counted by others or
// written before now is read first; items that already run go on meanwhile.
void Gateway::RunBatch(TimePoint now) {
  ownership_.SetKnowsEnds(record_mirrors_.caught_up() && !sync_.HasGap(now));
  runner_.Run(now);
}

void Gateway::NoticePause() {
  if (!pauses_.Passed(BootNow())) return;
  LogWarning("paused");
  sync_.OnPaused(MonotonicNow());
  rate_.OnPaused();
  rate_.Expire(MonotonicNow());
  record_mirrors_.ReadAnew();
}

bool Gateway::Current() {
  NoticePause();
  sync_.OnWanted(MonotonicNow());
  return sync_.Current(MonotonicNow());
}

bool Gateway::Complete() {
  NoticePause();
  return sync_.Complete(MonotonicNow());
}

void Gateway::RefreshRecords() {
  const TimePoint now = MonotonicNow();
  if (now - refreshed_records_at_ < kRecordsRefreshPause) return;
  refreshed_records_at_ = now;
  record_mirrors_.ReadAnew();
}

void Gateway::SetWorkspaceObjects() {
  std::vector<workspaces::Workspace> objects;
  for (const auto& [name, workspace] : policies_.catalog().workspaces()) {
    objects.push_back(workspace);
  }
  workspaces_.SetObjects(std::move(objects));
}

void Gateway::ArmTick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) Tick();
  });
}

void Gateway::Tick() {
  NoticePause();
  const TimePoint now = MonotonicNow();
  if (servers_.Expire(now)) policies_.Attach();
  RefreshFleet(now);
  peers_.Expire(now);
  rate_.Expire(now);
  follower_.Run(now);
  board_.ExpirePeerReports(now);
  board_.ObserveDemand(now);
  crashes_.Expire(now);
  runner_.GiveWay(now);
  RunBatch(now);
  committer_.Run(now);
  collector_.Run(now);
  batch_.Expire(now);
  OnRecordsHeard();
  sharer_.Run(now);
  ShareProgress(now, kProgressStep);
  if (sync_.MustAskStore(now)) record_mirrors_.Poke();
  if (sync_.HasGap(now)) record_mirrors_.RenewWatch();
  if (stop_began_at_ != kNever) CheckStopped(now);
  ArmTick();
}

void Gateway::BeginStop() {
  if (stop_began_at_ != kNever) return;
  stop_began_at_ = MonotonicNow();
  ownership_.Stop();
  follower_.Stop();
  LogInfo("stopping", {{"online", online_.open()},
                       {"items", runner_.running()},
                       {"grace_ms", settings_.stop_grace.count()}});
  callers_.BeginDraining();
  // Items that wait are taken over at once, from where they are.
  shared_progress_at_ = TimePoint{};
  ShareProgress(stop_began_at_, 1);
  sharer_.ShareWhole(stop_began_at_);
}

void Gateway::CheckStopped(TimePoint now) {
  const TimePoint kill_at = stop_began_at_ + settings_.stop_grace;
  if (accepting_ && now >= stop_began_at_ + kAcceptAfterStop) {
    accepting_ = false;
    callers_.StopAccepting();
  }
  if (!handed_over_ && now >= kill_at - kLastWrites - kLastPushes) {
    handed_over_ = true;
    runner_.EndAll();
    shared_progress_at_ = TimePoint{};
    ShareProgress(now, 1);
    sharer_.ShareWhole(now);
  }
  const bool idle = !accepting_ && callers_.open_exchanges() == 0 &&
                    callers_.open_connections() == 0 &&
                    runner_.running() == 0 && committer_.idle();
  if (!idle) idle_since_ = now;
  if (now - idle_since_ < kLastPushes && now < kill_at - kLastWrites) return;
  sharer_.ShareWhole(now);
  LogInfo("stopped", {{"online", online_.open()},
                      {"items", runner_.running()},
                      {"connections", callers_.open_connections()}});
  io_.stop();
}

bool Gateway::ready() const {
  const bool waits_for_fleet = is_new_member_ && awaits_layout_;
  return routes_.version != 0 && follower_.knows_servers() &&
         !waits_for_fleet && stop_began_at_ == kNever;
}

std::string Gateway::RenderMetrics() {
  metrics_.Set("knap_configuration_version",
               static_cast<double>(routes_.version));
  metrics_.Set("knap_servers", static_cast<double>(board_.server_count()));
  metrics_.Set("knap_store_available", store_.available() ? 1 : 0);
  metrics_.Set("knap_store_calls", static_cast<double>(store_.calls()));
  metrics_.Set("knap_store_reader", follower_.IsReader() ? 1 : 0);
  metrics_.Set("knap_cell_entries", static_cast<double>(entries_in_cell_));
  metrics_.Set("knap_online_open", static_cast<double>(online_.open()));
  metrics_.Set("knap_items_running", static_cast<double>(runner_.running()));
  metrics_.Set("knap_fleet_members",
               static_cast<double>(fleet_.members().size()));
  metrics_.Set("knap_fleet_shards",
               static_cast<double>(fleet_.layout().shards));
  metrics_.Set("knap_entries_heard",
               static_cast<double>(peers_.WorkingEntries().size()));
  return metrics_.Render();
}

}  // namespace knapweedstile::gateway
