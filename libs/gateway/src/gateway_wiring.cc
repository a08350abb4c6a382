#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "batch/job_records.h"
#include "gateway.h"
#include "gateway_metrics.h"
#include "operators/object_names.h"
#include "operators/status_page.h"
#include "operators/workspaces_page.h"
#include "users_platform/store_names.h"

// How the gateway's parts are joined.
namespace knapweedstile::gateway {
namespace {

// A configuration's limit holds for what a caller sends before its body; the
// server's own limit leaves room for it.
constexpr std::chrono::milliseconds kBodyTimeout{10000};

// Results are kept for longer than is promised: an entry counts from when it
// learned of a job, and readers come late.
constexpr int kRetentionFactor = 2;

http::ServerSettings CallerServerSettings() {
  http::ServerSettings settings;
  settings.max_connections = 3500;
  settings.body_timeout = kBodyTimeout;
  settings.max_total_body_bytes = 64ULL << 20;
  return settings;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const GatewaySettings& settings,
                 uint64_t seed)
    : io_(io),
      settings_(settings),
      started_at_(MonotonicNow()),
      timeline_(settings.timeline_events),
      board_({}, settings.availability_zone, seed),
      fleet_(settings.name,
             {.address = fmt::format("{}:{}", settings.ip, settings.peer_port),
              .availability_zone = settings.availability_zone,
              .processor_share = settings.processor_share}),
      kinds_(fleet_),
      rate_(settings.rate_quota, Hash64(settings.name), seed + 2, started_at_),
      store_(io, settings.store_address),
      servers_(board_,
               [this](BackendServerId former, const std::string& address) {
                 OnServerRestarted(former, address);
               }),
      policies_(board_),
      start_(static_cast<uint64_t>(WallClockNanos())),
      peers_(io, settings.name, start_,
             {.state = [this](const PeerState& state) { OnPeerState(state); },
              .yield =
                  [this](const std::string& instance) {
                    runner_.Yield(board_.Find(instance));
                  },
              .started =
                  [this](const std::string& entry) { OnPeerStarted(entry); },
              .lost =
                  [this](const std::string& entry, bool draining) {
                    board_.RemovePeer(entry);
                    crashes_.RemovePeer(entry);
                    if (!draining) return;
                    sync_.Forget(entry);
                    rate_.Leave(Hash64(entry));
                  },
              .membership_changed = [this] { UpdateCells(); },
              .is_peer =
                  [this](const std::string& gateway, const std::string& zone) {
                    return fleet_.IsPeer(gateway, zone);
                  },
              .summary = [this](const PeerState& state) { OnSummary(state); },
              .summary_expired =
                  [this](const std::string& gateway) {
                    crashes_.RemovePeer(gateway);
                  }}),
      push_(io, settings.name, start_,
            {.received =
                 [this](const std::string& entry, uint64_t start,
                        uint64_t count, std::vector<OwnRecord>&& records) {
                   sync_.OnReceived(entry, start, count - records.size(), count,
                                    MonotonicNow());
                   for (OwnRecord& record : records) {
                     records_.Take({.kind = kOwnKind,
                                    .name = std::move(record.name),
                                    .value = std::move(record.value)});
                   }
                   RunBatch(MonotonicNow());
                   return sync_.ReceivedOf(entry);
                 },
             .acknowledged = [this] { OnRecordsHeard(); }}),
      relay_(io,
             {.helper =
                  [this] { return peers_.EntryWithStore(follower_.readers()); },
              .perform =
                  [this](platform::StoreCall&& call, TimePoint deadline,
                         StoreRelay::Callback callback) {
                    store_.Call(std::move(call), deadline, std::move(callback));
                  },
              .respond =
                  [this](ExchangeId exchange, std::string body) {
                    push_.Respond(exchange, std::move(body));
                  }}),
      progress_(io,
                [this](ProgressLink::Notes&& notes) {
                  for (serving::ProgressUpdate& note : notes) {
                    book_.MergeProgress(std::move(note));
                  }
                }),
      sharer_(io, peers_, board_, rate_,
              {.every = [this] { return OwnState(); },
               .whole =
                   [this](PeerState& state, TimePoint now) {
                     state.availability_zone = settings_.availability_zone;
                     state.running_items = runner_.RunningItems();
                     state.crashes = crashes_.OwnCounts();
                     state.filled = sync_.FilledLately(now);
                   },
               .summary = [this](TimePoint now) { return Summary(now); }}),
      follower_(io, settings_, store_, peers_,
                {.configuration =
                     [this](const platform::StoredObject& object) {
                       OnConfiguration(object);
                     },
                 .servers_listed =
                     [this](std::vector<platform::StoredObject>&& objects) {
                       servers_.OnListed(std::move(objects), MonotonicNow(),
                                         follower_.regained_at());
                       policies_.Attach();
                     },
                 .server_changed =
                     [this](platform::StoredObject&& object) {
                       servers_.OnChanged(std::move(object), MonotonicNow(),
                                          follower_.regained_at());
                       policies_.Attach();
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
                 .version = [this] { return routes_.version; },
                 .cores =
                     [this](const std::string& gateway) {
                       return fleet_.ProcessorShareOf(gateway);
                     }}),
      ownership_(settings.name, started_at_, peers_, book_),
      registration_(io, store_, settings.name,
                    fleet_.members().at(settings.name)),
      connections_(io),
      online_(
          connections_, board_, crashes_, metrics_, timeline_, seed + 1,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 callers_.Execute(std::move(command));
               },
           .displace =
               [this](BackendServerId server, const std::string& entry) {
                 Displace(server, entry);
               },
           .not_run =
               [this](const std::string& workspace, TimePoint admitted_at) {
                 rate_.GiveBack(Hash64(workspace), admitted_at, MonotonicNow());
               },
           .usage_changed = [this] { sharer_.OnUsageChanged(); },
           .outside =
               [this](const serving::Route& route, const std::string& service,
                      const std::string& workspace) {
                 return policies_.Outside(route, service, workspace);
               }}),
      runner_(
          connections_, board_, book_, routes_, metrics_, timeline_,
          {.owns =
               [this](const serving::BatchJob& job) {
                 return ownership_.Owns(job, MonotonicNow());
               },
           .entries =
               [this] {
                 return fleet_.divided() ? fleet_.members().size()
                                         : peers_.WorkingEntries().size() + 1;
               },
           .runs_elsewhere =
               [this](uint64_t item) { return peers_.RunsElsewhere(item); },
           .finished =
               [this](const std::string& job) {
                 committer_.Note(job, MonotonicNow());
               },
           .usage_changed = [this] { sharer_.OnUsageChanged(); },
           .outside =
               [this](const serving::Route& route, const std::string& service) {
                 return policies_.Outside(route, service, "");
               }}),
      committer_(
          store_, kinds_, book_,
          [this](const std::string& job) { batch_.OnProgress(job); },
          [this](const OwnRecord& record) { PushRecord(record); }),
      writer_(
          store_, kinds_, book_, metrics_,
          {.book_changed =
               [this](const std::string& job) {
                 batch_.OnProgress(job);
                 RunBatch(MonotonicNow());
               },
           .written =
               [this](const OwnRecord& record) { return PushRecord(record); },
           .entries = [this] { return peers_.LiveAddresses().size() + 1; },
           .held_part =
               [this] {
                 return static_cast<double>(fleet_.OwnShards().size()) /
                        fleet_.layout().shards;
               },
           .complete = [this] { return Complete(); },
           .current = [this] { return Current(); },
           .refresh = [this] { RefreshRecords(); }}),
      batch_(store_, kinds_, book_, writer_, settings.name,
             {.to_caller =
                  [this](http::ServerCommand&& command) {
                    ToCaller(std::move(command));
                  },
              .current = [this] { return Current(); }}),
      own_batches_(
          routes_, book_, writer_, settings.name,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 ToCaller(std::move(command));
               },
           .current = [this] { return Current(); },
           .may_ask =
               [this](std::string_view body, const CallerIdentity& caller) {
                 return MayAskModel(body, caller, workspaces_);
               }}),
      forwarder_(
          io, metrics_,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 callers_.Execute(std::move(command));
               },
           .holders =
               [this](std::string_view job) { return HolderAddresses(job); }}),
      records_(book_, {.progress =
                           [this](const std::string& job) {
                             batch_.OnProgress(job);
                           }}),
      intake_(
          routes_, workspaces_, rate_, metrics_,
          fmt::format("{}-{:x}", settings.name, start_),
          settings.trust_configuration_for,
          {.to_caller =
               [this](http::ServerCommand&& command) {
                 ToCaller(std::move(command));
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
                 if (!HoldsOrForwards(request, job, caller)) return;
                 batch_.Submit(std::move(request), route, caller);
               },
           .call_job =
               [this](http::RequestEvent&& request,
                      const users_platform::BatchCall& call,
                      const CallerIdentity& caller) {
                 const std::string job = JobKey(caller.workspace, call.job);
                 if (!HoldsOrForwards(request, job, caller)) return;
                 batch_.Call(std::move(request), call, caller);
               },
           .own_batches =
               [this](http::RequestEvent&& request,
                      const CallerIdentity& caller) {
                 const std::string job = OwnBatches::JobOf(request, caller);
                 if (!HoldsOrForwards(request, job, caller)) return;
                 own_batches_.OnRequest(std::move(request), caller);
               },
           .configuration_age =
               [this] { return follower_.ConfigurationAge(MonotonicNow()); },
           .look_again =
               [this] { follower_.ReadConfiguration(MonotonicNow()); }}),
      collector_(
          store_, kinds_, book_,
          {.keep = settings.result_retention * kRetentionFactor},
          [this](const std::string& job) { return ownership_.Collects(job); }),
      callers_(io, CallerServerSettings(),
               [this](http::ServerEvent&& event) {
                 return OnCallerEvent(std::move(event));
               }),
      pages_(io, settings_, store_, timeline_,
             {.ready = [this] { return ready(); },
              .metrics = [this] { return RenderMetrics(); },
              .status =
                  [this] {
                    return RenderStatus(settings_, stop_began_at_ != kNever,
                                        routes_.version, board_, policies_);
                  },
              .workspaces =
                  [this] {
                    return RenderWorkspaces(settings_.name, routes_.version,
                                            workspaces_, rate_, MonotonicNow());
                  }}),
      record_mirrors_(
          io, store_, settings.store_history,
          {.listed =
               [this](std::vector<platform::StoredObject>&& objects) {
                 for (const auto& object : objects) records_.Take(object);
                 RunBatch(MonotonicNow());
               },
           .changed =
               [this](platform::StoredObject&& object) {
                 records_.Take(object);
               },
           .read =
               [this](TimePoint began) {
                 sync_.OnStoreRead(began, MonotonicNow());
                 RunBatch(MonotonicNow());
               }}),
      tick_(io) {
  DeclareMetrics(metrics_);
}

}  // namespace knapweedstile::gateway
