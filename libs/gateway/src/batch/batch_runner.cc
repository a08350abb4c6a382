#include "batch/batch_runner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

using serving::ItemRef;
using serving::ItemState;

// A displaced item waits this long: the burst that took its slot goes on, and
// each resumption reads its prompt again (33 ms of a backend server's time).
constexpr std::chrono::milliseconds kDisplacedPause{150};
// Others hear of a start within some milliseconds.
constexpr std::chrono::milliseconds kStartWindow{25};
// First events of runs that need not wait come within 70 ms.
constexpr std::chrono::milliseconds kQueuedAfter{90};
// Time to the first event: a queue of online requests may be ahead, and the
// backend server may read other prompts first.
constexpr std::chrono::milliseconds kFirstEventPatience{4000};
// A configuration is in force everywhere within two seconds, and within seven
// while the store is disturbed.
constexpr std::chrono::milliseconds kUnroutedPause{500};
constexpr std::chrono::milliseconds kUnroutedPatience{4000};
// An item's run on a busy backend server, at the median.
constexpr std::chrono::milliseconds kUsualRun{4500};
// Longest run of one item; a longest item takes about ten seconds.
constexpr std::chrono::seconds kLongestRun{30};

}  // namespace

BatchRunner::BatchRunner(ServerConnections& connections,
                         serving::SlotScheduler& board, serving::JobTable& book,
                         const serving::RouteTable& routes,
                         observe::Metrics& metrics, observe::Timeline& timeline,
                         Callbacks ports)
    : scheduler_(board),
      jobs_(book),
      routes_(routes),
      metrics_(metrics),
      timeline_(timeline),
      callbacks_(std::move(ports)),
      connections_(connections),
      sink_([this](http::ClientEvent&& event) {
        OnUpstream(std::move(event));
      }) {}

void BatchRunner::Run(TimePoint now) {
  EndUnwanted();
  EndStalled(now);
  GiveUpExpired(now);
  RequeueQueuedRuns(now);
  // A policy that has come into force may leave batch less than it has.
  for (const BackendServerId server : scheduler_.ServersOverBatchLimit()) {
    PreemptItem(server);
  }
  std::set<std::string, std::less<>> full;  // routes without room
  const auto mine = [&](const serving::BatchJob& job) {
    return !full.contains(job.route) && callbacks_.owns(job);
  };
  const auto free = [&](const serving::BatchItem& item) {
    return !callbacks_.runs_on_peer(Hash64(item.id));
  };
  const TimePoint in_time = now + kUsualRun;
  while (const auto item = jobs_.NextItem(now, in_time, mine, free)) {
    if (Start(*item, now) == StartResult::kNoCapacity) {
      full.insert(jobs_.Find(item->job)->route);
    }
  }
}

BatchRunner::StartResult BatchRunner::Start(const ItemRef& item,
                                            TimePoint now) {
  serving::BatchJob& job = *jobs_.Find(item.job);
  const serving::BatchItem& work = job.items[item.index];
  const serving::Route* route = routes_.Find(job.host, work.target);
  if (!route) {
    WaitForRoute(item, now);
    return StartResult::kStarted;
  }
  const std::string& service = route->services.front().service;
  if (!ConsumeBudget(service, now)) return StartResult::kNoCapacity;
  const BackendServerId server = scheduler_.PlaceBatch(
      service, callbacks_.excluded_servers(*route, service), now);
  if (!server) return StartResult::kNoCapacity;
  serving::ItemProgress& progress = job.progress[item.index];
  progress.unrouted_since.reset();
  ItemRun run{.item = item,
              .item_id = work.id,
              .route = route->name,
              .hash = Hash64(work.id),
              .server = server,
              .upstream = connections_.Open(sink_),
              .started_at = now,
              .stalls_at = now + kFirstEventPatience};
  const serving::ServerRecord& record = *scheduler_.Record(server);
  http::ClientRequest request;
  request.exchange = run.upstream;
  request.address = record.address;
  request.method = "POST";
  request.target = work.target;
  request.headers =
      users_platform::ItemHeaders(work.headers, work.id, job.host,
                                  {.instance = record.instance,
                                   .workspace = job.workspace,
                                   .budget = kLongestRun,
                                   .after_event = progress.last_event});
  request.body = work.body;
  request.deadline = now + kLongestRun;
  request.stream_body = true;
  jobs_.SetRunning(item);
  scheduler_.OnRequestStarted(server, TrafficClass::kBatch);
  runs_.emplace(run.upstream, std::move(run));
  callbacks_.usage_changed();
  connections_.Send(std::move(request));
  return StartResult::kStarted;
}

void BatchRunner::PreemptBlockingItems(TimePoint now) {
  for (const BackendServerId server : scheduler_.ServersToPreempt(now))
    PreemptItem(server);
}

// Failure guarded against: an entry that has just started, or whose watch lags,
// does not know the route that the job was accepted under; giving the item up
// at once would list it as failed for good. Only a route that stays away under
// a known configuration was removed.
void BatchRunner::WaitForRoute(const ItemRef& item, TimePoint now) {
  jobs_.SetWaiting(item, now + kUnroutedPause);
  if (routes_.version == 0) return;
  serving::BatchJob& job = *jobs_.Find(item.job);
  serving::ItemProgress& progress = job.progress[item.index];
  if (!progress.unrouted_since) progress.unrouted_since = now;
  if (now - *progress.unrouted_since < kUnroutedPatience) return;
  LogWarning("item_given_up", {{"job", item.job},
                               {"item", job.items[item.index].id},
                               {"cause", "no_route"},
                               {"configuration", routes_.version}});
  jobs_.SetFinished(item, ItemState::kFailed);
  callbacks_.item_finished(item.job);
}

bool BatchRunner::ConsumeBudget(const std::string& service, TimePoint now) {
  if (now >= window_ends_at_) {
    budget_.clear();
    window_ends_at_ = now + kStartWindow;
  }
  const auto [budget, is_new] = budget_.try_emplace(service);
  if (is_new) {
    budget->second =
        scheduler_.BatchBudget(service, callbacks_.gateway_count(), now);
  }
  if (budget->second == 0) return false;
  --budget->second;
  return true;
}

// Failure guarded against: entries that took the same room leave more items
// than slots at a server. Those that wait there hold back the online requests
// behind them, for seconds; it shows as an excess and as runs without any
// event.
void BatchRunner::RequeueQueuedRuns(TimePoint now) {
  std::map<BackendServerId, ExchangeId> queued;
  for (const auto& [upstream, run] : runs_) {
    if (run.received_event || now - run.started_at < kQueuedAfter) continue;
    if (scheduler_.Oversubscription(run.server) > 0)
      queued.emplace(run.server, upstream);
  }
  for (const auto& [server, upstream] : queued) {
    connections_.Cancel(upstream);
    Requeue(runs_.at(upstream), kDisplacedPause, "queued");
  }
}

void BatchRunner::EndStalled(TimePoint now) {
  std::vector<ExchangeId> stalled;
  for (const auto& [upstream, run] : runs_) {
    if (run.stalls_at <= now) stalled.push_back(upstream);
  }
  for (const ExchangeId upstream : stalled) {
    ItemRun& run = runs_.at(upstream);
    connections_.Cancel(upstream);
    scheduler_.MarkUnreachable(run.server, now);
    OnAttemptBroken(run, "stalled");
  }
}

void BatchRunner::EndUnwanted() {
  std::vector<ExchangeId> unwanted;
  for (const auto& [upstream, run] : runs_) {
    const serving::BatchJob* job = jobs_.Find(run.item.job);
    const bool listed = job && job->progress[run.item.index].phase ==
                                   serving::ItemPhase::kCommitted;
    if (!job || job->ended || listed) unwanted.push_back(upstream);
  }
  for (const ExchangeId upstream : unwanted) {
    connections_.Cancel(upstream);
    RemoveRun(runs_.at(upstream));
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
  ItemRun* chosen = nullptr;
  TimePoint latest{};
  for (auto& [upstream, run] : runs_) {
    if (run.server != server) continue;
    const serving::BatchJob* job = jobs_.Find(run.item.job);
    const TimePoint due = job ? job->due_at : kNever;
    if (chosen && due <= latest) continue;
    chosen = &run;
    latest = due;
  }
  if (!chosen) return;
  connections_.Cancel(chosen->upstream);
  Requeue(*chosen, kDisplacedPause, "displaced");
}

void BatchRunner::OnServerRestarted(BackendServerId former) {
  std::vector<ExchangeId> cut;
  for (const auto& [upstream, run] : runs_) {
    if (run.server == former) cut.push_back(upstream);
  }
  for (const ExchangeId upstream : cut) {
    connections_.Cancel(upstream);
    OnAttemptBroken(runs_.at(upstream), "server_restarted");
  }
}

void BatchRunner::EndAll() {
  while (!runs_.empty()) {
    ItemRun& run = runs_.begin()->second;
    connections_.Cancel(run.upstream);
    Requeue(run, kDisplacedPause, "stopping");
  }
}

std::vector<uint64_t> BatchRunner::RunningItems() const {
  std::vector<uint64_t> items;
  items.reserve(runs_.size());
  for (const auto& [upstream, run] : runs_) items.push_back(run.hash);
  return items;
}

}  // namespace knapweedstile::gateway
