#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "batch/job_records.h"
#include "cluster/stream_keepers.h"
#include "gateway.h"
#include "gateway_metrics.h"
#include "operators/object_names.h"
#include "operators/status_page.h"
#include "operators/workspaces_page.h"
#include "users_platform/store_names.h"

// Constructs the gateway's components and connects their callbacks.
namespace knapweedstile::gateway {
namespace {

// The configured timeout covers only what a caller sends before its body. The
// body has this separate limit, which leaves room for the configured one.
constexpr std::chrono::milliseconds kBodyTimeout{10000};

// Results are kept for longer than promised, because each gateway counts from
// when it received the job and callers may read late.
constexpr int kRetentionFactor = 2;
// For one part of a large result on the link of a small VM.
constexpr std::chrono::milliseconds kPartReadTimeout{1500};

http::ServerSettings CallerServerSettings(const ResourceLimits& limits) {
  http::ServerSettings settings;
  settings.max_connections = limits.caller_connections;
  settings.body_timeout = kBodyTimeout;
  settings.max_held_bytes = limits.caller_bytes;
  return settings;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const GatewaySettings& settings,
                 uint64_t seed)
    : io_(io),
      settings_(settings),
      limits_(DivideResources(settings.memory_mb, settings.max_job_memory_mb,
                              settings.max_descriptors)),
      started_at_(MonotonicNow()),
      timeline_(settings.timeline_events),
      scheduler_({}, settings.availability_zone, seed),
      crashing_parts_(Hash64(settings.name)),
      fleet_(settings.name,
             {.address = fmt::format("{}:{}", settings.ip, settings.peer_port),
              .availability_zone = settings.availability_zone,
              .processor_share = settings.processor_share}),
      record_kinds_(fleet_),
      rate_quota_(settings.rate_quota, Hash64(settings.name), seed + 2,
                  started_at_),
      store_(io, settings.store_address),
      servers_(scheduler_,
               [this](BackendServerId previous, const std::string& address) {
                 OnServerRestarted(previous, address);
               }),
      policies_(scheduler_),
      start_id_(static_cast<uint64_t>(WallClockNanos())),
      peers_(io, settings.name, start_id_,
             {.state_received =
                  [this](const PeerState& state) { OnPeerState(state); },
              .preemption_requested =
                  [this](const std::string& instance) {
                    runner_.PreemptItem(scheduler_.Find(instance));
                  },
              .peer_started =
                  [this](const std::string& peer) { OnPeerStarted(peer); },
              .peer_lost =
                  [this](const std::string& peer, bool draining) {
                    scheduler_.RemovePeer(peer);
                    crash_tracker_.RemovePeer(peer);
                    if (!draining) return;
                    sync_tracker_.RemovePeer(peer);
                    rate_quota_.RemovePeer(Hash64(peer));
                  },
              .membership_changed = [this] { UpdateCells(); },
              .is_peer =
                  [this](const std::string& gateway, const std::string& zone) {
                    return fleet_.IsPeer(gateway, zone);
                  },
              .summary_received =
                  [this](const PeerState& state) { OnPeerSummary(state); },
              .summary_expired =
                  [this](const std::string& gateway) {
                    crash_tracker_.RemovePeer(gateway);
                  },
              .other_datagram =
                  [this](std::string_view datagram, const std::string& sender) {
                    const TimePoint now = MonotonicNow();
                    if (cell_probe_.OnDatagram(datagram, sender, now)) return;
                    stream_registry_.OnDatagram(datagram, sender, now);
                  }}),
      record_push_(
          io, limits_, settings.name, start_id_,
          {.received =
               [this](const std::string& peer, uint64_t start, uint64_t count,
                      std::vector<StoreRecord>&& records) {
                 sync_tracker_.OnReceived(peer, start, count - records.size(),
                                          count, MonotonicNow());
                 for (StoreRecord& record : records) {
                   if (!HoldsRecord(record.name)) continue;
                   found_records_.OnPushed(record.name);
                   record_reader_.ApplyRecord(
                       {.kind = kRecordKind,
                        .name = std::move(record.name),
                        .value = std::move(record.value)},
                       record.is_outline ? RecordOrigin::kOutline
                                         : RecordOrigin::kFull);
                 }
                 RunBatch(MonotonicNow());
                 return sync_tracker_.ReceivedFrom(peer);
               },
           .acknowledged = [this] { OnRecordsAcknowledged(); },
           .queued =
               [this](std::string_view cause, uint64_t bytes) {
                 metrics_.Add("knap_peer_bytes_total", {std::string(cause)},
                              bytes);
               }}),
      store_relay_(io,
                   {.peer_address =
                        [this](const std::set<std::string>& avoided) {
                          return peers_.AddressOfPeerWithStore(
                              follower_.readers(), avoided);
                        },
                    .perform =
                        [this](platform::StoreCall&& call, TimePoint deadline,
                               StoreRelay::Callback callback) {
                          store_.Call(std::move(call), deadline,
                                      std::move(callback));
                        },
                    .respond =
                        [this](ExchangeId exchange, std::string body) {
                          record_push_.Respond(exchange, std::move(body));
                        }}),
      progress_link_(
          io, {.received =
                   [this](serving::ProgressUpdate&& update) {
                     return jobs_.MergeProgress(std::move(update));
                   },
               .not_applied =
                   [this](const std::string& job, const std::string& item,
                          serving::ProgressOutcome outcome) {
                     if (outcome == serving::ProgressOutcome::kNotKnown) {
                       jobs_.RepublishItem(job, item);
                     } else {
                       jobs_.ForgetPublishedOutput(job, item);
                     }
                   }}),
      publisher_(
          io, peers_, scheduler_, rate_quota_,
          {.base_state = [this] { return OwnState(); },
           .add_full_state =
               [this](PeerState& state, TimePoint now) {
                 state.availability_zone = settings_.availability_zone;
                 state.running_items = runner_.RunningItemHashes();
                 state.crashes = crash_tracker_.OwnCounts();
                 state.crashing_parts = crashing_parts_.Report(now);
                 state.server_ends = crashing_parts_.ReportEnds();
                 state.observations = scheduler_.pace().TakeObservations(now);
                 state.filled = sync_tracker_.RecentlyRecovered(now);
                 state.returns = online_.PromisedReturns(now);
               },
           .summary = [this](TimePoint now) { return BuildSummary(now); }}),
      stream_registry_(
          {.keepers =
               [this](uint64_t stream) {
                 return cluster::StreamKeepers(stream, fleet_.members(),
                                               settings_.name);
               },
           .send =
               [this](const std::string& address, const std::string& datagram) {
                 peers_.SendDatagram(address, datagram);
               }}),
      follower_(
          io, settings_, store_, peers_,
          {.configuration_read =
               [this](const platform::StoredObject& object,
                      ConfigurationSource source) {
                 OnConfiguration(object, source);
               },
           .servers_listed =
               [this](std::vector<platform::StoredObject>&& objects) {
                 servers_.OnListed(std::move(objects), MonotonicNow(),
                                   follower_.regained_at());
                 policies_.UpdateServerPolicies();
               },
           .server_changed =
               [this](platform::StoredObject&& object) {
                 servers_.OnChanged(std::move(object), MonotonicNow(),
                                    follower_.regained_at());
                 policies_.UpdateServerPolicies();
               },
           .objects_listed =
               [this](std::vector<platform::StoredObject>&& objects) {
                 policies_.OnListed(std::move(objects));
                 SetWorkspaceObjects();
               },
           .object_changed =
               [this](platform::StoredObject&& object) {
                 policies_.OnChanged(std::move(object));
                 SetWorkspaceObjects();
               },
           .members_listed =
               [this](std::vector<platform::StoredObject>&& objects) {
                 OnMembersListed(std::move(objects));
               },
           .member_changed =
               [this](platform::StoredObject&& object) {
                 OnMemberChanged(object);
               },
           .address_of =
               [this](const std::string& gateway) {
                 const auto member = fleet_.members().find(gateway);
                 return member == fleet_.members().end()
                            ? std::string()
                            : member->second.address;
               },
           .store_lost = [this] { publisher_.PublishFull(MonotonicNow()); },
           .configuration_version = [this] { return routes_.version; },
           .cores =
               [this](const std::string& gateway) {
                 if (IsShortOfProcessor(HeadroomOf(gateway))) return 0.0;
                 return fleet_.ProcessorShareOf(gateway);
               }}),
      ownership_(settings.name, started_at_, peers_, jobs_),
      registration_(io, store_, settings.name,
                    fleet_.members().at(settings.name)),
      layout_record_(store_,
                     [this](const cluster::FleetLayout& layout) {
                       OnLayoutLearned(layout);
                     }),
      origin_record_(store_),
      cell_probe_(
          cell_watch_,
          {.addresses_in =
               [this](const serving::Cell& cell) {
                 std::vector<std::string> addresses;
                 for (const auto& gateway : fleet_.cells().GatewaysIn(cell))
                   addresses.push_back(fleet_.members().at(gateway).address);
                 return addresses;
               },
           .send =
               [this](const std::string& address, const std::string& datagram) {
                 peers_.SendDatagram(address, datagram);
               }}),
      cell_claims_(store_, settings.name, metrics_,
                   [this](const serving::Cell& cell) { OnCellDeparted(cell); }),
      connections_(io, limits_.server_connections, metrics_),
      online_(
          connections_, scheduler_, crash_tracker_, crashing_parts_, metrics_,
          timeline_, seed + 1,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 caller_server_.Execute(std::move(command));
               },
           .preempt =
               [this](BackendServerId server, const std::string& peer) {
                 PreemptBatchItem(server, peer);
               },
           .not_executed =
               [this](const std::string& workspace, TimePoint admitted_at) {
                 rate_quota_.Refund(Hash64(workspace), admitted_at,
                                    MonotonicNow());
               },
           .usage_changed = [this] { publisher_.OnUsageChanged(); },
           .excluded_servers =
               [this](const serving::Route& route, const std::string& service,
                      const std::string& workspace) {
                 return policies_.ExcludedServers(route, service, workspace);
               },
           .stream_began =
               [this](const std::string& request,
                      const serving::StreamOrigin& origin) {
                 stream_registry_.OnStreamBegan(request, origin,
                                                MonotonicNow());
               },
           .find_stream =
               [this](const std::string& request,
                      StreamRegistry::FindCallback done) {
                 stream_registry_.Find(request, MonotonicNow(),
                                       std::move(done));
               },
           .find_only_origin =
               [this](const std::string& route, OriginRecord::Callback done) {
                 UpdateOrigins();
                 origin_record_.FindOnly(route, std::move(done));
               }}),
      runner_(
          connections_, scheduler_, crashing_parts_, jobs_, routes_, metrics_,
          timeline_, seed + 3,
          {.owns =
               [this](const serving::BatchJob& job) {
                 return RunsItemsOf(job);
               },
           .has_configuration_of =
               [this](const serving::BatchJob& job) {
                 return HasConfigurationOf(job);
               },
           .gateway_count =
               [this] {
                 return fleet_.divided() ? fleet_.members().size()
                                         : peers_.ActivePeers().size() + 1;
               },
           .runs_on_peer =
               [this](uint64_t item) { return peers_.IsRunningOnPeer(item); },
           .item_finished =
               [this](const std::string& job) {
                 committer_.OnItemFinished(job, MonotonicNow());
               },
           .usage_changed = [this] { publisher_.OnUsageChanged(); },
           // Only online requests profit from items that start later.
           .holds_starts =
               [this] { return short_of_processor_ && online_.open() > 0; },
           .excluded_servers =
               [this](const serving::Route& route, const std::string& service) {
                 return policies_.ExcludedServers(route, service, "");
               }}),
      large_result_writer_(store_, record_kinds_, jobs_, large_result_index_,
                           metrics_),
      committer_(
          store_, record_kinds_, jobs_, large_result_writer_,
          [this](const std::string& job) { batch_api_.OnProgress(job); },
          [this](const StoreRecord& record) { PushRecord(record); }),
      writer_(
          store_, record_kinds_, jobs_, metrics_, limits_,
          {.job_changed =
               [this](const std::string& job) {
                 batch_api_.OnProgress(job);
                 RunBatch(MonotonicNow());
               },
           .record_written =
               [this](const StoreRecord& record) { return PushRecord(record); },
           .choose_holders =
               [this](const std::string& job) { return ChooseHolders(job); },
           .newest_configuration =
               [this] { return follower_.newest_configuration(); },
           .gateway_count =
               [this] { return peers_.LiveAddresses().size() + 1; },
           .shard_share =
               [this] {
                 return static_cast<double>(fleet_.OwnShards().size()) /
                        fleet_.layout().shards;
               },
           .has_live_peer_records = [this] { return HasLivePeerRecords(); },
           .has_all_records = [this] { return HasAllRecords(); },
           .refresh_records = [this] { RefreshRecords(); }}),
      batch_api_(store_, record_kinds_, jobs_, writer_, settings.name,
                 limits_.calls,
                 {.to_caller =
                      [this](http::ServerCommand&& command) {
                        SendToCaller(std::move(command));
                      },
                  .has_all_records = [this] { return HasAllRecords(); },
                  .serve_from_holder =
                      [this](const std::shared_ptr<const JobCall>& call,
                             const std::string& job,
                             OutlineCalls::MissingRecord missing,
                             OutlineCalls::AnswerHere answer) {
                        outline_calls_.Serve(call, job, std::move(missing),
                                             std::move(answer));
                      }}),
      native_batch_api_(
          routes_, jobs_, writer_, settings.name,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 SendToCaller(std::move(command));
               },
           .has_all_records = [this] { return HasAllRecords(); },
           .may_use_model =
               [this](std::string_view body, const CallerIdentity& caller) {
                 return IsModelAllowed(body, caller, workspaces_);
               },
           .serve_from_holder =
               [this](const std::shared_ptr<const JobCall>& call,
                      const std::string& job,
                      OutlineCalls::MissingRecord missing,
                      OutlineCalls::AnswerHere answer) {
                 outline_calls_.Serve(call, job, std::move(missing),
                                      std::move(answer));
               }}),
      forwarder_(
          io, limits_.calls, metrics_,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 SendToCaller(std::move(command));
               },
           .holders =
               [this](std::string_view job) { return HolderAddresses(job); }}),
      record_reader_(
          jobs_, large_result_index_,
          {.job_updated =
               [this](const std::string& job) { batch_api_.OnProgress(job); },
           .record_found =
               [this](const platform::StoredObject& object) {
                 OnRecordFound(object);
               }}),
      large_result_reader_(
          jobs_,
          [this](const std::string& name,
                 std::function<void(platform::StoreAnswer&&)> done) {
            store_.CallDirectOrRelayed(
                platform::ReadRequest{.kind = kPartKind, .name = name},
                MonotonicNow() + kPartReadTimeout, std::move(done));
          }),
      record_fetcher_(
          {.store_reachable = [this] { return store_.reachable(); },
           .read =
               [this](const std::string& name, TimePoint deadline,
                      RecordFetcher::AnswerCallback done) {
                 const std::string job = ParseRecordName(name).id;
                 store_.CallDirectOrRelayed(
                     platform::ReadRequest{.kind = record_kinds_.KindOfJob(job),
                                           .name = name},
                     deadline,
                     [this,
                      done = std::move(done)](platform::StoreAnswer&& answer) {
                       large_result_reader_.Complete(
                           std::move(answer),
                           [done](const platform::StoreAnswer& completed) {
                             done(completed, MonotonicNow());
                           });
                     });
               },
           .apply =
               [this](const platform::StoredObject& object) {
                 record_reader_.ApplyRecord(object, RecordOrigin::kFull);
               },
           .job_known =
               [this](const std::string& name) {
                 return jobs_.Find(ParseRecordName(name).id) != nullptr;
               }}),
      outline_calls_(forwarder_, record_fetcher_, jobs_, metrics_,
                     {.holders =
                          [this](const std::string& job) {
                            return AddressesOfHolders(job);
                          },
                      .misdirected =
                          [this](ExchangeId exchange) {
                            SendToCaller(http::RespondCommand{
                                .exchange = exchange,
                                .status = JobForwarder::kMisdirected});
                          }}),
      admission_(
          routes_, workspaces_, rate_quota_, metrics_,
          fmt::format("{}-{:x}", settings.name, start_id_),
          settings.trust_configuration_for,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 SendToCaller(std::move(command));
               },
           .online =
               [this](http::RequestEvent&& request, const serving::Route& route,
                      const CallerIdentity& caller, bool less_urgent) {
                 online_.Begin(std::move(request), route, caller, less_urgent);
               },
           .submit_job =
               [this](http::RequestEvent&& request, const serving::Route& route,
                      const CallerIdentity& caller) {
                 const std::string job =
                     JobKey(caller.workspace, caller.request_id);
                 ServeIfHolder(
                     std::move(request), job, caller, true,
                     [this, route, caller](http::RequestEvent&& call) {
                       batch_api_.Submit(std::move(call), route, caller);
                     });
               },
           .call_job =
               [this](http::RequestEvent&& request,
                      const users_platform::BatchCall& call,
                      const CallerIdentity& caller) {
                 const std::string job = JobKey(caller.workspace, call.job);
                 ServeIfHolder(
                     std::move(request), job, caller, false,
                     [this, call, caller](http::RequestEvent&& event) {
                       batch_api_.Call(std::move(event), call, caller);
                     });
               },
           .own_batches =
               [this](http::RequestEvent&& request,
                      const CallerIdentity& caller) {
                 const std::string job =
                     NativeBatchApi::JobIdOf(request, caller);
                 const bool submits = NativeBatchApi::IsSubmission(request);
                 ServeIfHolder(std::move(request), job, caller, submits,
                               [this, caller](http::RequestEvent&& event) {
                                 native_batch_api_.OnRequest(std::move(event),
                                                             caller);
                               });
               },
           .configuration_age =
               [this] { return follower_.ConfigurationAge(MonotonicNow()); },
           .reload_configuration =
               [this] { follower_.ReadConfiguration(MonotonicNow()); }}),
      collector_(store_, record_kinds_, jobs_, large_result_index_,
                 {.retention = settings.result_retention * kRetentionFactor},
                 [this](const std::string& job) {
                   return ownership_.CollectsRecordsOf(job);
                 }),
      caller_server_(io, CallerServerSettings(limits_),
                     [this](http::ServerEvent&& event) {
                       return OnCallerEvent(std::move(event));
                     }),
      admin_server_(io, settings_, limits_, store_, timeline_,
                    {.ready = [this] { return ready(); },
                     .metrics = [this] { return RenderMetrics(); },
                     .status =
                         [this] {
                           return RenderStatus(
                               settings_, stop_began_at_ != kNever,
                               routes_.version, scheduler_, policies_);
                         },
                     .workspaces =
                         [this] {
                           return RenderWorkspaces(settings_.name,
                                                   routes_.version, workspaces_,
                                                   rate_quota_, MonotonicNow());
                         }}),
      record_mirrors_(
          io, store_, settings.store_history,
          {.listed =
               [this](std::vector<platform::StoredObject>&& objects) {
                 for (const auto& object : objects)
                   record_reader_.ApplyRecord(object, RecordOrigin::kList);
                 RunBatch(MonotonicNow());
               },
           .changed =
               [this](platform::StoredObject&& object) {
                 record_reader_.ApplyRecord(object, RecordOrigin::kChange);
               },
           .list_completed =
               [this](const std::string& kind,
                      const std::set<std::string>& names, TimePoint began) {
                 const size_t removed = record_reader_.RemoveDeletedJobs(
                     names, began, [&](const std::string& job) {
                       return record_kinds_.KindOfJob(job) == kind;
                     });
                 metrics_.Add("knap_jobs_deleted_unseen_total", {}, removed);
               },
           .read_completed =
               [this](TimePoint began) {
                 sync_tracker_.OnStoreRead(began, MonotonicNow());
                 RunBatch(MonotonicNow());
               }}),
      tick_timer_(io) {
  DeclareMetrics(metrics_);
}

}  // namespace knapweedstile::gateway
