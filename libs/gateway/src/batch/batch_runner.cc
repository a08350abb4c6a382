#include "batch/batch_runner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "servers/attempt_end.h"
#include "serving/service_choice.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

using serving::ItemRef;
using serving::ItemState;

// Pause before an item that was preempted or withdrawn may start again. The
// burst that took its slot usually continues, and each resumption processes the
// prompt again, which costs 33 ms of backend server time.
constexpr std::chrono::milliseconds kRequeuePause{150};
// Length of the window for which the start budgets are computed (see
// BudgetOf()): peers receive the report of a start within a few
// milliseconds, so the next budget takes their starts into account.
constexpr std::chrono::milliseconds kStartWindow{25};
// A run without an event for this long is assumed to be queued at the backend
// server; other runs receive their first event within 70 ms.
constexpr std::chrono::milliseconds kQueuedThreshold{90};
// Time to the first event: online requests may be queued ahead, and the backend
// server may process other prompts first.
constexpr std::chrono::milliseconds kFirstEventTimeout{4000};
// Pause before the route of a waiting item is looked up again.
constexpr std::chrono::milliseconds kRouteRetryPause{500};
// An item whose route stays missing for this long fails. A new configuration is
// normally active on all gateways within two seconds, but only within seven
// while the store is degraded.
constexpr std::chrono::milliseconds kMissingRouteTimeout{4000};
// Median duration of an item's run on a busy backend server.
constexpr std::chrono::milliseconds kTypicalRunDuration{4500};
// An item whose job is due sooner than this starts also while starts are held
// back.
constexpr std::chrono::milliseconds kUrgentBefore{6000};
// Pause before an item that finds no room at its software version is placed
// again.
constexpr std::chrono::milliseconds kVersionRetryPause{100};
// An item that finds no room at its software version for this long begins again
// at another one.
constexpr std::chrono::milliseconds kVersionPatience{2000};
// Deadline of one run; the longest items take about ten seconds.
constexpr std::chrono::seconds kMaxRunDuration{30};

// The service that the item has begun at. Gateways of older versions, which use
// one service of each route, do not name it.
const std::string& ServiceOf(const serving::ItemProgress& progress,
                             const serving::Route& route) {
  const bool known = !progress.service.empty() || route.services.size() > 1;
  return known ? progress.service : route.services.front().service;
}

}  // namespace

BatchRunner::BatchRunner(ServerConnections& connections,
                         serving::SlotScheduler& scheduler,
                         serving::CrashingParts& crashing_parts,
                         serving::JobTable& jobs,
                         const serving::RouteTable& routes,
                         observe::Metrics& metrics, observe::Timeline& timeline,
                         uint64_t seed, Callbacks callbacks)
    : scheduler_(scheduler),
      crashing_parts_(crashing_parts),
      jobs_(jobs),
      routes_(routes),
      metrics_(metrics),
      timeline_(timeline),
      callbacks_(std::move(callbacks)),
      rng_(seed),
      connections_(connections),
      sink_([this](http::ClientEvent&& event) {
        OnClientEvent(std::move(event));
      }) {}

void BatchRunner::Run(TimePoint now) {
  EndUnneededRuns();
  EndStalledRuns(now);
  GiveUpExpired(now);
  WithdrawQueuedRuns(now);
  // A newly active policy may allow batch traffic fewer slots than it uses.
  for (const BackendServerId server : scheduler_.ServersOverBatchLimit()) {
    PreemptItem(server);
  }
  std::set<std::string, std::less<>> full_routes;  // routes without capacity
  const TimePoint urgent_until =
      callbacks_.holds_starts() ? now + kUrgentBefore : kNever;
  const auto is_startable = [&](const serving::BatchJob& job) {
    return job.due_at <= urgent_until && !full_routes.contains(job.route) &&
           callbacks_.has_configuration_of(job) && callbacks_.owns(job);
  };
  const auto not_on_peer = [&](const serving::BatchItem& item) {
    return !callbacks_.runs_on_peer(Hash64(item.id));
  };
  const TimePoint expected_end = now + kTypicalRunDuration;
  while (const auto item =
             jobs_.NextItem(now, expected_end, is_startable, not_on_peer)) {
    if (Start(*item, now) == StartResult::kNoCapacity) {
      full_routes.insert(jobs_.Find(item->job)->route);
    }
  }
}

BatchRunner::StartResult BatchRunner::Start(const ItemRef& ref, TimePoint now) {
  serving::BatchJob& job = *jobs_.Find(ref.job);
  const serving::BatchItem& item = job.items[ref.index];
  const serving::Route* route = routes_.Find(job.host, item.target);
  if (!route) {
    WaitForRoute(ref, now);
    return StartResult::kHandled;
  }
  serving::ItemProgress& progress = job.progress[ref.index];
  progress.unrouted_since.reset();
  const bool continues = progress.last_event && CanContinue(progress, *route);
  if (continues && BudgetOf(ServiceOf(progress, *route), now) == 0)
    return StartResult::kNoCapacity;
  const BackendServerId server = Place(ref, *route, continues, now);
  if (!server && !continues) return StartResult::kNoCapacity;
  if (!server) {
    // Items that have not begun may still find room at other services or
    // versions.
    jobs_.SetWaiting(ref, now + kVersionRetryPause);
    return StartResult::kHandled;
  }
  progress.awaits_version_since.reset();
  ItemRun run{.item = ref,
              .item_id = item.id,
              .route = route->name,
              .item_hash = Hash64(item.id),
              .prompt_parts = users_platform::SharedPromptParts(item.headers),
              .server = server,
              .service = scheduler_.Record(server)->service,
              .software = scheduler_.Record(server)->software,
              .configuration = routes_.version,
              .exchange = connections_.Open(sink_),
              .started_at = now,
              .stalls_at = now + kFirstEventTimeout};
  const serving::ServerRecord& record = *scheduler_.Record(server);
  const bool queued = scheduler_.UsageOf(server).total() >= record.slots;
  run.pace = AttemptPace(TrafficClass::kBatch, queued, now);
  http::ClientRequest request;
  request.exchange = run.exchange;
  request.address = record.address;
  request.method = "POST";
  request.target = item.target;
  request.headers =
      users_platform::ItemHeaders(item.headers, item.id, job.host,
                                  {.instance = record.instance,
                                   .workspace = job.workspace,
                                   .budget = kMaxRunDuration,
                                   .after_event = progress.last_event});
  request.body = item.body;
  request.deadline = now + kMaxRunDuration;
  request.stream_body = true;
  jobs_.SetRunning(ref);
  scheduler_.OnRequestStarted(server, TrafficClass::kBatch);
  runs_.emplace(run.exchange, std::move(run));
  callbacks_.usage_changed();
  connections_.Send(std::move(request));
  return StartResult::kHandled;
}

// Guards against an output that joins events of two services or software
// versions. An item whose version has left begins again, as does one that has
// waited for its version while others have room.
BackendServerId BatchRunner::Place(const ItemRef& ref,
                                   const serving::Route& route, bool continues,
                                   TimePoint now) {
  const serving::BatchJob& job = *jobs_.Find(ref.job);
  serving::ItemProgress& progress = jobs_.Find(ref.job)->progress[ref.index];
  if (continues) {
    const BackendServerId server =
        PlaceAt(ServiceOf(progress, route), progress.software, job, route, now);
    if (server) return server;
    if (!progress.awaits_version_since) progress.awaits_version_since = now;
    if (now - *progress.awaits_version_since < kVersionPatience) return {};
  }
  BackendServerId server;
  std::set<std::string, std::less<>> full;
  while (!server) {
    const serving::ServiceShare* share = serving::ChooseService(
        route.services, rng_,
        [&](const std::string& service) { return !full.contains(service); });
    if (!share) break;
    server = PlaceAt(share->service, {}, job, route, now);
    full.insert(share->service);
  }
  if (server && progress.last_event) {
    LogInfo("item_begins_again", {{"job", ref.job},
                                  {"item", job.items[ref.index].id},
                                  {"service", ServiceOf(progress, route)},
                                  {"software", progress.software},
                                  {"version_left", !continues},
                                  {"events", *progress.last_event}});
    jobs_.ForgetOutput(ref);
  }
  return server;
}

BackendServerId BatchRunner::PlaceAt(const std::string& service,
                                     std::string_view software,
                                     const serving::BatchJob& job,
                                     const serving::Route& route,
                                     TimePoint now) {
  uint32_t& budget = BudgetOf(service, now);
  if (budget == 0 || connections_.full()) return {};
  const std::vector<BackendServerId> excluded =
      callbacks_.excluded_servers(route, service);
  const BackendServerId server = scheduler_.PlaceBatch(
      service, {.excluded = excluded, .software = software}, now, job.due_at);
  if (server) --budget;
  return server;
}

bool BatchRunner::CanContinue(const serving::ItemProgress& progress,
                              const serving::Route& route) const {
  const std::string& service = ServiceOf(progress, route);
  const bool leads_there = std::any_of(
      route.services.begin(), route.services.end(), [&](const auto& share) {
        return share.service == service &&
               (share.weight > 0 || route.services.size() == 1);
      });
  return leads_there && !progress.software.empty() &&
         scheduler_.HasVersion(service, progress.software);
}

void BatchRunner::PreemptBlockingItems(TimePoint now) {
  for (const BackendServerId server : scheduler_.ServersToPreempt(now))
    PreemptItem(server);
}

// Postpones an item whose route is missing. Guards against items that fail
// permanently because this gateway has just started, or has not yet received
// the configuration under which the job was accepted. The item fails only if
// the route stays missing for kMissingRouteTimeout after a configuration was
// loaded.
void BatchRunner::WaitForRoute(const ItemRef& item, TimePoint now) {
  jobs_.SetWaiting(item, now + kRouteRetryPause);
  if (routes_.version == 0) return;
  serving::BatchJob& job = *jobs_.Find(item.job);
  serving::ItemProgress& progress = job.progress[item.index];
  if (!progress.unrouted_since) progress.unrouted_since = now;
  if (now - *progress.unrouted_since < kMissingRouteTimeout) return;
  LogWarning("item_given_up", {{"job", item.job},
                               {"item", job.items[item.index].id},
                               {"cause", "no_route"},
                               {"configuration", routes_.version}});
  jobs_.SetFinished(item, ItemState::kFailed);
  callbacks_.item_finished(item.job);
}

uint32_t& BatchRunner::BudgetOf(const std::string& service, TimePoint now) {
  if (now >= start_window_ends_at_) {
    start_budgets_.clear();
    start_window_ends_at_ = now + kStartWindow;
  }
  const auto [budget, is_new] = start_budgets_.try_emplace(service);
  if (is_new) {
    budget->second =
        scheduler_.BatchBudget(service, callbacks_.gateway_count(), now);
  }
  return budget->second;
}

// Withdraws one run from each oversubscribed server that has runs without an
// event: it is probably queued there. Guards against gateways that take the
// same free slots at the same time and so place more items on a server than it
// has slots. The queued items delay the online requests behind them for
// seconds.
void BatchRunner::WithdrawQueuedRuns(TimePoint now) {
  std::map<BackendServerId, ExchangeId> queued_by_server;
  for (const auto& [exchange, run] : runs_) {
    if (run.received_event || now - run.started_at < kQueuedThreshold) continue;
    if (scheduler_.Oversubscription(run.server) > 0)
      queued_by_server.emplace(run.server, exchange);
  }
  for (const auto& [server, exchange] : queued_by_server) {
    connections_.Cancel(exchange);
    Requeue(runs_.at(exchange), kRequeuePause, "queued");
  }
}

void BatchRunner::EndStalledRuns(TimePoint now) {
  std::vector<ExchangeId> stalled;
  for (const auto& [exchange, run] : runs_) {
    if (run.stalls_at <= now) stalled.push_back(exchange);
  }
  for (const ExchangeId exchange : stalled) {
    ItemRun& run = runs_.at(exchange);
    connections_.Cancel(exchange);
    scheduler_.MarkUnreachable(run.server, now);
    OnAttemptBroken(run, "stalled");
  }
}

void BatchRunner::EndUnneededRuns() {
  std::vector<ExchangeId> unneeded;
  for (const auto& [exchange, run] : runs_) {
    const serving::BatchJob* job = jobs_.Find(run.item.job);
    const bool committed = job && job->progress[run.item.index].phase ==
                                      serving::ItemPhase::kCommitted;
    if (!job || job->ended || committed) unneeded.push_back(exchange);
  }
  for (const ExchangeId exchange : unneeded) {
    connections_.Cancel(exchange);
    RemoveRun(runs_.at(exchange));
  }
}

void BatchRunner::GiveUpExpired(TimePoint now) {
  for (const auto& [id, job] : jobs_.jobs()) {
    if (!job.open() || job.expires_at > now || !callbacks_.owns(job)) continue;
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      if (job.progress[i].phase != serving::ItemPhase::kWaiting) continue;
      LogWarning(
          "item_given_up",
          {{"job", id}, {"item", job.items[i].id}, {"cause", "expired"}});
      jobs_.SetFinished({id, i}, ItemState::kFailed);
      callbacks_.item_finished(id);
    }
  }
}

void BatchRunner::PreemptItem(BackendServerId server) {
  ItemRun* candidate = nullptr;
  TimePoint latest_due{};
  for (auto& [exchange, run] : runs_) {
    if (run.server != server) continue;
    const serving::BatchJob* job = jobs_.Find(run.item.job);
    const TimePoint due = job ? job->due_at : kNever;
    if (candidate && due <= latest_due) continue;
    candidate = &run;
    latest_due = due;
  }
  if (!candidate) return;
  connections_.Cancel(candidate->exchange);
  Requeue(*candidate, kRequeuePause, "displaced");
}

void BatchRunner::OnServerRestarted(BackendServerId previous_server) {
  std::vector<ExchangeId> interrupted;
  for (const auto& [exchange, run] : runs_) {
    if (run.server == previous_server) interrupted.push_back(exchange);
  }
  for (const ExchangeId exchange : interrupted) {
    connections_.Cancel(exchange);
    OnAttemptBroken(runs_.at(exchange), kServerRestarted);
  }
}

void BatchRunner::EndAll() {
  while (!runs_.empty()) {
    ItemRun& run = runs_.begin()->second;
    connections_.Cancel(run.exchange);
    Requeue(run, kRequeuePause, "stopping");
  }
}

std::vector<uint64_t> BatchRunner::RunningItemHashes() const {
  std::vector<uint64_t> hashes;
  hashes.reserve(runs_.size());
  for (const auto& [exchange, run] : runs_) hashes.push_back(run.item_hash);
  return hashes;
}

}  // namespace knapweedstile::gateway
