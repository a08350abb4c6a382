#include "gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/job_call.h"
#include "batch/job_records.h"
#include "servers/standing_log.h"
#include "users_platform/configuration.h"
#include "users_platform/store_names.h"

namespace knapweedstile::gateway {
namespace {

// Interval of periodic work: read deadlines, item starts, usage reports.
constexpr std::chrono::milliseconds kTick{20};
// Events between progress updates of an item, about half a second of a run.
// Finer steps would cost more in messages than they save when a gateway fails.
constexpr uint64_t kProgressStep = 16;
// The load balancer removes a gateway after two failed probes, a second apart;
// until then callers still connect.
constexpr std::chrono::milliseconds kAcceptAfterStop{2800};
// Minimum time between reads of the records, so that jobs that wait for store
// updates share one read.
constexpr std::chrono::milliseconds kRecordsRefreshPause{100};
// Time for the last records to reach the peers.
constexpr std::chrono::milliseconds kLastPushes{200};
// Time reserved before the kill for writing the last responses, and what is
// left of it when the process ends.
constexpr std::chrono::milliseconds kLastWrites{400};
constexpr std::chrono::milliseconds kExitMargin{200};
}  // namespace

Result<bool> Gateway::Start() {
  BOOST_LEAF_CHECK(admin_server_.Listen());
  BOOST_LEAF_CHECK(peers_.Listen(settings_.ip, settings_.peer_port));
  BOOST_LEAF_CHECK(record_push_.Listen(
      fmt::format("{}:{}", settings_.ip, settings_.peer_port)));
  BOOST_LEAF_CHECK(caller_server_.Listen(settings_.callers_address));
  store_.SetRelay(&store_relay_);
  record_push_.SetOtherHandler([this](http::RequestEvent&& request) {
    OnPeerRequest(std::move(request));
  });
  record_push_.SetDisconnectHandler([this](ExchangeId exchange) {
    batch_api_.OnCallerDisconnected(exchange);
    forwarder_.OnCallerDisconnected(exchange);
  });
  store_.SetRegainedHandler([this] {
    follower_.OnStoreRegained();
    record_mirrors_.OnStoreRegained();
  });
  caller_server_.SetConnectionFilter(
      [this] { return connection_gate_.Admit(MonotonicNow()); });
  follower_.Start();
  ScheduleTick();
  return true;
}

void Gateway::OnPeerRequest(http::RequestEvent&& request) {
  if (JobForwarder::IsTarget(request.target)) return OnJobCall(request);
  if (StoreUpdateLink::IsTarget(request.target)) {
    follower_.OnStoreUpdateRequest(request);
  } else if (ConfigurationLink::IsTarget(request.target)) {
    return record_push_.Respond(request.exchange,
                                follower_.ConfigurationResponse());
  } else if (ProgressLink::IsTarget(request.target)) {
    return record_push_.Respond(request.exchange,
                                progress_link_.OnRequest(request));
  } else {
    return store_relay_.OnRequest(request);
  }
  record_push_.Respond(request.exchange, {});
}

void Gateway::SendToCaller(http::ServerCommand&& command) {
  const ExchangeId exchange =
      std::visit([](const auto& c) { return c.exchange; }, command);
  if (RecordPush::IsPeerExchange(exchange)) {
    if (auto* response = std::get_if<http::RespondCommand>(&command)) {
      PackResponse(*response);
    }
    return record_push_.Execute(std::move(command));
  }
  caller_server_.Execute(std::move(command));
}

bool Gateway::OnCallerEvent(http::ServerEvent&& event) {
  if (const auto* disconnected = std::get_if<http::DisconnectEvent>(&event)) {
    online_.OnCallerDisconnected(disconnected->exchange);
    batch_api_.OnCallerDisconnected(disconnected->exchange);
    forwarder_.OnCallerDisconnected(disconnected->exchange);
    return true;
  }
  CheckForPause();
  admission_.OnRequest(std::get<http::RequestEvent>(std::move(event)));
  return true;
}

void Gateway::OnServerRestarted(BackendServerId previous,
                                const std::string& address) {
  connections_.CloseIdle(address);
  online_.OnServerRestarted(previous);
  runner_.OnServerRestarted(previous);
}

void Gateway::OnConfiguration(const platform::StoredObject& object,
                              ConfigurationSource source) {
  if (object.name != users_platform::kConfigurationName) return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(configuration,
                        users_platform::ParseConfiguration(object.value));
        serving::RouteTable& table = configuration.routes;
        // Versions only increase, so that a late, older one is ignored.
        if (table.version <= routes_.version) return {};
        LogInfo(
            "configuration_in_force",
            {{"version", table.version},
             {"before", routes_.version},
             {"source", NameOf(source)},
             {"routes", table.routes.size()},
             {"workspaces",
              configuration.workspaces ? configuration.workspaces->size() : 0},
             {"revision", object.version}});
        routes_ = std::move(table);
        follower_.SetConfiguration(object);
        workspaces_.SetConfigured(std::move(configuration.workspaces));
        UpdateRateMembers();
        follower_.UpdateConfigurationAge(MonotonicNow());
        policies_.UpdateServerPolicies();
        caller_server_.SetLimits(
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

// Guards against starting items of a job that has already ended: a gateway that
// is still listing its records after a crash, or has missed a push, lacks the
// end record, and would send items to servers seconds after the caller was
// informed. No items start until the missing records are read; running items
// continue.
void Gateway::RunBatch(TimePoint now) {
  CheckForPause();
  ownership_.SetEndRecordsLoaded(record_mirrors_.caught_up() &&
                                     !sync_tracker_.HasGap(now) &&
                                     MayHoldJobs(now),
                                 now);
  ReportHandover(now);
  runner_.Run(now);
}

void Gateway::ReportHandover(TimePoint now) {
  const bool hands_over = ownership_.HandsOver(now);
  if (std::exchange(hands_jobs_over_, hands_over) == hands_over) return;
  LogInfo(hands_over ? "jobs_handed_over" : "jobs_taken_back",
          {{"jobs", jobs_.jobs().size()}});
  metrics_.Set("knap_jobs_handed_over", hands_over ? 1 : 0);
  publisher_.PublishFull(now);
}

void Gateway::CheckForPause() {
  if (!pause_detector_.DetectPause(BootNow())) return;
  LogWarning("paused");
  sync_tracker_.OnPaused(MonotonicNow());
  rate_quota_.OnPaused();
  rate_quota_.Expire(MonotonicNow());
  follower_.OnPaused(MonotonicNow());
  record_mirrors_.ReadAgain();
  cell_watch_.Reset();
  if (cell_watch_.IsInRing()) cell_claims_.ReadOwnClaim(MonotonicNow());
}

bool Gateway::HasAllRecords() {
  CheckForPause();
  sync_tracker_.OnCallerWaiting(MonotonicNow());
  return sync_tracker_.IsCurrent(MonotonicNow());
}

bool Gateway::HasLivePeerRecords() {
  CheckForPause();
  return sync_tracker_.IsComplete(MonotonicNow());
}

void Gateway::RefreshRecords() {
  const TimePoint now = MonotonicNow();
  if (now - records_refreshed_at_ < kRecordsRefreshPause) return;
  records_refreshed_at_ = now;
  record_mirrors_.ReadAgain();
}

void Gateway::SetWorkspaceObjects() {
  std::vector<workspaces::Workspace> objects;
  for (const auto& [name, workspace] : policies_.catalog().workspaces()) {
    objects.push_back(workspace);
  }
  workspaces_.SetObjects(std::move(objects));
}

void Gateway::ScheduleTick() {
  tick_due_at_ = MonotonicNow() + kTick;
  tick_timer_.expires_at(tick_due_at_);
  tick_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) Tick();
  });
}

void Gateway::UpdateCrashingParts(TimePoint now) {
  for (const uint64_t part : crashing_parts_.Update(now)) {
    LogWarning("prompt_part_quarantined", {{"part", ToHex(part)}});
  }
}

void Gateway::MeasureLoad(TimePoint now) {
  load_meter_.OnTimer(tick_due_at_, now);
  const bool is_short = IsShortOfProcessor(load_meter_.headroom());
  if (is_short == std::exchange(short_of_processor_, is_short)) return;
  if (is_short) metrics_.Add("knap_processor_short_total");
  if (!load_log_budget_.TryAcquire(now)) return;
  LogInfo(is_short ? "processor_short" : "processor_regained",
          {{"headroom", fmt::format("{:.2f}", load_meter_.headroom())},
           {"online", online_.open()},
           {"items", runner_.running()}});
}

bool Gateway::PeersHaveRoom() const {
  const std::vector<std::string> peers = peers_.ActivePeers();
  const auto with_room =
      std::count_if(peers.begin(), peers.end(), [this](const auto& peer) {
        return !IsShortOfProcessor(HeadroomOf(peer));
      });
  return 2 * static_cast<size_t>(with_room) > peers.size();
}

void Gateway::LimitConnections(TimePoint now) {
  const bool was_limiting = connection_gate_.limiting();
  const bool limits =
      short_of_processor_ && stop_began_at_ == kNever && PeersHaveRoom();
  connection_gate_.Update(limits, now);
  const bool limiting = connection_gate_.limiting();
  if (limiting == was_limiting || !load_log_budget_.TryAcquire(now)) return;
  LogInfo(limiting ? "connections_limited" : "connections_unlimited",
          {{"closed_unread", connection_gate_.closed()}});
}

double Gateway::HeadroomOf(const std::string& gateway) const {
  if (gateway == settings_.name) return load_meter_.headroom();
  return peers_.HeadroomOf(gateway).value_or(1);
}

void Gateway::Tick() {
  CheckForPause();
  const TimePoint now = MonotonicNow();
  MeasureLoad(now);
  LimitConnections(now);
  if (servers_.Expire(now)) policies_.UpdateServerPolicies();
  RefreshFleet(now);
  RunCellWatch(now);
  RereadTakenOverRecords(now);
  peers_.Expire(now);
  rate_quota_.Expire(now);
  follower_.Run(now);
  scheduler_.ExpirePeerReports(now);
  scheduler_.ObserveDemand(now);
  scheduler_.pace().Update(now);
  LogStandingChanges(scheduler_);
  crash_tracker_.Expire(now);
  UpdateCrashingParts(now);
  runner_.PreemptBlockingItems(now);
  stream_registry_.Run(now);
  RunOriginRecord(now);
  online_.Run(now, now + kTick);
  RunBatch(now);
  large_result_writer_.Run(now);
  committer_.Run(now);
  collector_.Run(now, record_mirrors_.caught_up());
  batch_api_.Expire(now);
  OnRecordsAcknowledged();
  publisher_.Run(now);
  SendProgress(now, kProgressStep);
  PushFoundRecords(now);
  if (sync_tracker_.NeedsStoreRead(now)) record_mirrors_.SkipPause();
  if (sync_tracker_.HasGap(now)) record_mirrors_.RenewWatch();
  if (stop_began_at_ != kNever) AdvanceStop(now);
  ScheduleTick();
}

void Gateway::BeginStop() {
  if (stop_began_at_ != kNever) return;
  stop_began_at_ = MonotonicNow();
  ownership_.Stop();
  follower_.Stop();
  LogInfo("stopping", {{"online", online_.open()},
                       {"items", runner_.running()},
                       {"grace_ms", settings_.stop_grace.count()}});
  caller_server_.BeginDraining();
  // Peers take over waiting items at once, at their current progress. There is
  // no time to resend what does not fit.
  jobs_.ForgetPublishedOutputs();
  progress_sent_at_ = TimePoint{};
  SendProgress(stop_began_at_, 1);
  publisher_.PublishFull(stop_began_at_);
}

void Gateway::AdvanceStop(TimePoint now) {
  const TimePoint kill_at = stop_began_at_ + settings_.stop_grace;
  if (accepting_ && now >= stop_began_at_ + kAcceptAfterStop) {
    accepting_ = false;
    caller_server_.StopAccepting();
  }
  if (!batch_runs_ended_ && now >= kill_at - kLastWrites - kLastPushes) {
    batch_runs_ended_ = true;
    runner_.EndAll();
    jobs_.ForgetPublishedOutputs();
    progress_sent_at_ = TimePoint{};
    SendProgress(now, 1);
    publisher_.PublishFull(now);
  }
  const bool idle = !accepting_ && caller_server_.open_exchanges() == 0 &&
                    caller_server_.open_connections() == 0 &&
                    runner_.running() == 0 && committer_.idle();
  if (!idle) idle_since_ = now;
  if (now >= kill_at - kLastWrites && online_.open() > 0) online_.EndAll();
  if (now - idle_since_ < kLastPushes && now < kill_at - kExitMargin) return;
  publisher_.PublishFull(now);
  LogInfo("stopped", {{"online", online_.open()},
                      {"items", runner_.running()},
                      {"connections", caller_server_.open_connections()}});
  io_.stop();
}

bool Gateway::ready() const {
  const bool waits_for_fleet = is_new_member_ && awaits_layout_;
  return routes_.version != 0 && follower_.knows_servers() &&
         !waits_for_fleet && stop_began_at_ == kNever;
}

void Gateway::SetWaitingItems(TimePoint now) {
  const serving::WaitingItems owned =
      jobs_.CountWaiting(now, [this, now](const serving::BatchJob& job) {
        return ownership_.Owns(job, now);
      });
  const serving::WaitingItems held =
      jobs_.CountWaiting(now, [this, now](const serving::BatchJob& job) {
        return job.creator == settings_.name && !ownership_.Owns(job, now);
      });
  const auto set = [this](std::string_view state, size_t count) {
    metrics_.Set("knap_items_waiting", static_cast<double>(count),
                 {std::string(state)});
  };
  set("ready", owned.ready);
  set("paused", owned.paused);
  set("held", held.ready + held.paused);
}

std::string Gateway::RenderMetrics() {
  metrics_.Set("knap_configuration_version",
               static_cast<double>(routes_.version));
  if (routes_.version != 0) {
    metrics_.Set("knap_configuration_age_seconds",
                 ToSeconds(follower_.ConfigurationAge(MonotonicNow())));
  }
  metrics_.Set("knap_servers", static_cast<double>(scheduler_.server_count()));
  SetPaceMetrics(scheduler_, metrics_);
  metrics_.Set("knap_store_available", store_.available() ? 1 : 0);
  metrics_.Set("knap_store_calls", static_cast<double>(store_.call_count()));
  metrics_.Set("knap_store_objects_unreadable",
               static_cast<double>(store_.unreadable_objects()));
  metrics_.Set("knap_store_reader", follower_.IsReader() ? 1 : 0);
  metrics_.Set("knap_cell_entries", static_cast<double>(gateways_in_cell_));
  metrics_.Set("knap_online_open", static_cast<double>(online_.open()));
  metrics_.Set("knap_waiting", static_cast<double>(online_.waiting()));
  metrics_.Set("knap_returns_promised",
               static_cast<double>(online_.promised_returns()));
  metrics_.Set("knap_stream_origins",
               static_cast<double>(stream_registry_.known()));
  metrics_.Set("knap_prompt_parts_quarantined",
               static_cast<double>(crashing_parts_.quarantined()));
  metrics_.Set("knap_server_processes_ended",
               static_cast<double>(crashing_parts_.ended_processes()));
  metrics_.Set("knap_items_running", static_cast<double>(runner_.running()));
  SetWaitingItems(MonotonicNow());
  metrics_.Set("knap_connections_closed_unread",
               static_cast<double>(connection_gate_.closed()));
  metrics_.Set("knap_connections_gave_way",
               static_cast<double>(caller_server_.gave_way()));
  metrics_.Set("knap_connection_bytes",
               static_cast<double>(caller_server_.held_bytes()));
  metrics_.Set("knap_processor_headroom", load_meter_.headroom());
  metrics_.Set("knap_fleet_members",
               static_cast<double>(fleet_.members().size()));
  metrics_.Set("knap_fleet_shards",
               static_cast<double>(fleet_.layout().shards));
  metrics_.Set("knap_fleet_cells_departed",
               static_cast<double>(fleet_.CountDeparted()));
  const auto full = static_cast<double>(
      std::count_if(jobs_.jobs().begin(), jobs_.jobs().end(),
                    [](const auto& job) { return job.second.has_bodies; }));
  metrics_.Set("knap_jobs_known", full, {"full"});
  metrics_.Set("knap_job_bytes", static_cast<double>(jobs_.bytes()));
  metrics_.Set("knap_jobs_known",
               static_cast<double>(jobs_.jobs().size()) - full, {"outline"});
  metrics_.Set("knap_entries_heard",
               static_cast<double>(peers_.ActivePeers().size()));
  return metrics_.Render();
}

}  // namespace knapweedstile::gateway
