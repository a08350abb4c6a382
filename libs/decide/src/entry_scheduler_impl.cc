#include "entry_scheduler_impl.h"

#include <algorithm>

#include "base/hash.h"
#include "decide/load_report.h"
#include "entry_invariant.h"

namespace knapweedstile::decide {
namespace {

// While requests wait, servers are looked at again this often: a closed one may
// have opened, or one that came up may take more.
constexpr Duration kPollEvery = std::chrono::milliseconds(20);
// A server whose connection failed gets nothing new for this long; the shell
// reports it down sooner when it really is.
constexpr Duration kFailureHoldOff = std::chrono::seconds(1);
// The longest a server's own refusal keeps it closed here.
constexpr Duration kLongestRefusal = std::chrono::seconds(1);
// Told to callers of a target without a backend server, once or twice over.
constexpr Duration kNoServerComeBack = std::chrono::seconds(1);
// Output tokens that cost as much as the fixed part of a request, and prompt
// tokens that cost as much as one output token (prefill runs in parallel).
constexpr double kFixedCost = 16;
constexpr double kPromptTokensPerOutputToken = 32;
// Hedges leave this much of the budget to retries.
constexpr double kRetryReserve = RetryBudget::kMostTokens / 2;
// Suspects run alone on at most one in this many servers of a target.
constexpr size_t kServersPerIsolation = 8;

double CostOf(const RequestInfo& info, const EntryRules& rules) {
  if (!rules.cost_fairness) return 1;
  return kFixedCost + info.max_tokens +
         info.prompt_tokens / kPromptTokensPerOutputToken;
}

FairQueueKey KeyOf(const RequestInfo& info, const EntryRules& rules) {
  if (!rules.fair_queue) return {};
  return {Hash64(info.workspace),
          info.caller.empty() ? 0 : Hash64(info.caller)};
}

uint64_t CallerFlow(FairQueueKey key) {
  return HashCombine(key.workspace, key.caller);
}

bool IsOnline(const EntryRequest& request) {
  return request.info.traffic_class == TrafficClass::kOnline;
}

double WeightOf(const EntryRequest& request) {
  return std::max<uint32_t>(request.info.workspace_weight, 1);
}

}  // namespace

EntryScheduler::Impl::Impl(const EntrySettings& settings, uint64_t seed)
    : settings_(settings), rng_(seed), bounds_(settings_) {}

void EntryScheduler::Impl::OnArrival(TimePoint now, RequestInfo info,
                                     Actions& actions) {
  now_ = now;
  const auto pool = pools_.find(info.target);
  if (pool == pools_.end() || pool->second.router.InCount() == 0) {
    const Duration spread =
        FromSeconds(ToSeconds(kNoServerComeBack) * (1 + UniformUnit(rng_)));
    actions.push_back(
        RefuseAction{info.id, {RefusalReason::kNoBackendServer, now + spread}});
    return;
  }
  const RequestId id = info.id;
  const auto [place, added] = requests_.try_emplace(id);
  RequireInvariant(added, "a request arrives once");
  EntryRequest& request = place->second;
  request.key = KeyOf(info, settings_.rules);
  request.info = std::move(info);
  request.pool = &pool->second;
  const auto reason = RefusesOnArrival(now, pool->second, request);
  if (reason) {
    Refuse(now, request, *reason, actions);
    return;
  }
  Enqueue(request);
  SetWake(request, LatestDispatch(request));
  Pump(now, pool->second, actions);
}

std::optional<RefusalReason> EntryScheduler::Impl::RefusesOnArrival(
    TimePoint now, const EntryPool& pool, const EntryRequest& request) {
  if (settings_.rules.quarantine &&
      quarantine_.StandingOf(now, request.info.fingerprint) ==
          QuarantineStanding::kQuarantined) {
    return RefusalReason::kQuarantined;
  }
  if (request.info.deadline <= now) return RefusalReason::kDeadline;
  const auto bound = bounds_.Refuses(request.info.traffic_class, request.key);
  if (bound) return bound;
  if (!IsOnline(request) || !settings_.rules.deadline_refusal) {
    return std::nullopt;
  }
  const double ahead = static_cast<double>(pool.again.size()) +
                       pool.online.AheadOf(request.key, WeightOf(request));
  const Duration wait =
      pool.admission.WaitBehind(ahead, pool.online_in_service);
  const Duration left = Remaining(LatestDispatch(request), now);
  const Duration longest = left / 100 * settings_.longest_wait_percent;
  if (left == Duration::zero() || wait > longest) {
    return RefusalReason::kDeadline;
  }
  return std::nullopt;
}

void EntryScheduler::Impl::Enqueue(EntryRequest& request) {
  EntryPool& pool = *request.pool;
  bounds_.Add(request.info.traffic_class, request.key);
  request.suspect = settings_.rules.quarantine &&
                    quarantine_.StandingOf(now_, request.info.fingerprint) ==
                        QuarantineStanding::kSuspect;
  if (request.suspect) {
    request.place = EntryRequestPlace::kIsolation;
    pool.suspects.push_back(request.info.id);
    return;
  }
  request.place = EntryRequestPlace::kQueue;
  FairQueue& queue = IsOnline(request) ? pool.online : pool.batch;
  queue.Push(request.key, WeightOf(request), request.info.id,
             CostOf(request.info, settings_.rules));
}

void EntryScheduler::Impl::LeaveQueue(EntryRequest& request) {
  EntryPool& pool = *request.pool;
  const RequestId id = request.info.id;
  switch (request.place) {
    case EntryRequestPlace::kServers:
      return;
    case EntryRequestPlace::kQueue:
      (IsOnline(request) ? pool.online : pool.batch).Remove(request.key, id);
      bounds_.Remove(request.info.traffic_class, request.key);
      return;
    case EntryRequestPlace::kAgain:
      std::erase(pool.again, id);
      return;
    case EntryRequestPlace::kIsolation:
      std::erase(pool.suspects, id);
      if (request.tried.empty()) {
        bounds_.Remove(request.info.traffic_class, request.key);
      }
      return;
  }
}

void EntryScheduler::Impl::OnCancel(TimePoint now, RequestId id,
                                    Actions& actions) {
  now_ = now;
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  EntryRequest& request = found->second;
  EntryPool& pool = *request.pool;
  LeaveQueue(request);
  CancelAttempts(now, request, AttemptId(), actions);
  Forget(request);
  Pump(now, pool, actions);
}

void EntryScheduler::Impl::OnFirstOutput(TimePoint now, AttemptId id,
                                         Actions& actions) {
  now_ = now;
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.first_output) return;
  Attempt& attempt = found->second;
  attempt.first_output = true;
  EntryRequest& request = requests_.at(attempt.request);
  request.first_output = true;
  if (IsOnline(request)) {
    NoteFirstOutput(now, attempt, *request.pool);
  }
  SetWake(request, kNever);
  if (request.attempts.size() < 2) return;
  EntryPool& pool = *request.pool;
  CancelAttempts(now, request, id, actions);
  Pump(now, pool, actions);
}

void EntryScheduler::Impl::OnAttemptEnded(TimePoint now, AttemptId id,
                                          AttemptOutcome outcome,
                                          TimePoint come_back_at,
                                          Actions& actions) {
  now_ = now;
  // Unknown ids are attempts that were cancelled here: their end is no news.
  if (!attempts_.contains(id)) return;
  const Attempt attempt = RemoveAttempt(now, id);
  EntryRequest& request = requests_.at(attempt.request);
  switch (outcome) {
    case AttemptOutcome::kDone:
      OnAnswered(now, attempt, request);
      [[fallthrough]];
    case AttemptOutcome::kYielded:
      CancelAttempts(now, request, AttemptId(), actions);
      Forget(request);
      break;
    case AttemptOutcome::kRefused:
      OnRefusedBy(*attempt.server, request,
                  std::min(come_back_at, now + kLongestRefusal));
      OnNotAnswered(now, outcome, request, actions);
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kUnknown:
    case AttemptOutcome::kCrashed:
      attempt.server->CloseUntil(now + kFailureHoldOff);
      OnNotAnswered(now, outcome, request, actions);
      break;
    case AttemptOutcome::kTimeout:
      OnNotAnswered(now, outcome, request, actions);
      break;
  }
  PumpAllOf(now, *attempt.server, actions);
}

void EntryScheduler::Impl::OnRefusedBy(RouterServer& server,
                                       const EntryRequest& request,
                                       TimePoint come_back_at) {
  if (IsOnline(request)) {
    server.CloseUntil(come_back_at);
  } else {
    server.CloseForBatchUntil(come_back_at);
  }
}

void EntryScheduler::Impl::OnAnswered(TimePoint now, const Attempt& attempt,
                                      EntryRequest& request) {
  EntryPool& pool = *request.pool;
  quarantine_.OnAnswered(request.info.fingerprint);
  if (!IsOnline(request)) return;
  pool.budget.OnSuccess();
  pool.admission.OnServed(now - attempt.started);
  if (!attempt.first_output) NoteFirstOutput(now, attempt, pool);
}

void EntryScheduler::Impl::NoteFirstOutput(TimePoint now,
                                           const Attempt& attempt,
                                           EntryPool& pool) {
  pool.first_output_times.OnFirstOutput(now - attempt.started);
  if (attempt.cached) return;
  pool.router.OnFirstOutput(now, *attempt.server, now - attempt.started);
}

void EntryScheduler::Impl::OnNotAnswered(TimePoint now, AttemptOutcome outcome,
                                         EntryRequest& request,
                                         Actions& actions) {
  const bool not_run = outcome == AttemptOutcome::kNotSent ||
                       outcome == AttemptOutcome::kRefused;
  if (!not_run) request.may_have_run = true;
  if (outcome == AttemptOutcome::kCrashed && settings_.rules.quarantine) {
    quarantine_.OnCrash(now, request.info.fingerprint);
  }
  // The other attempt of a hedged request goes on, unless the caller already
  // has output of this one.
  if (!request.attempts.empty() && !request.first_output) return;
  if (MaySendAgain(now, outcome, request)) {
    SendAgain(now, request);
    return;
  }
  GiveUp(now, request, RefusalReason::kRetriesExhausted, outcome, actions);
}

// Batch is not sent again from here: the job that owns the item does that, and
// two layers that retry multiply each other's attempts.
bool EntryScheduler::Impl::MaySendAgain(TimePoint now, AttemptOutcome outcome,
                                        const EntryRequest& request) {
  if (!IsOnline(request) || request.first_output) return false;
  if (outcome == AttemptOutcome::kTimeout) return false;
  if (request.may_have_run && !request.info.idempotent) return false;
  if (LatestDispatch(request) <= now) return false;
  EntryPool& pool = *request.pool;
  if (!pool.router.HasUntried(request.tried)) return false;
  if (quarantine_.StandingOf(now, request.info.fingerprint) ==
      QuarantineStanding::kQuarantined) {
    return false;
  }
  return !settings_.rules.retry_budget || pool.budget.TrySpend();
}

void EntryScheduler::Impl::SendAgain(TimePoint now, EntryRequest& request) {
  EntryPool& pool = *request.pool;
  ReleaseServer(pool, request.info.id);
  request.suspect = settings_.rules.quarantine &&
                    quarantine_.StandingOf(now, request.info.fingerprint) ==
                        QuarantineStanding::kSuspect;
  request.place = request.suspect ? EntryRequestPlace::kIsolation
                                  : EntryRequestPlace::kAgain;
  (request.suspect ? pool.suspects : pool.again).push_back(request.info.id);
  SetWake(request, LatestDispatch(request));
}

EntryScheduler::Impl::Attempt EntryScheduler::Impl::RemoveAttempt(
    TimePoint now, AttemptId id) {
  const auto found = attempts_.find(id);
  RequireInvariant(found != attempts_.end(), "a removed attempt is in flight");
  const Attempt attempt = found->second;
  attempts_.erase(found);
  EntryRequest& request = requests_.at(attempt.request);
  std::erase(request.attempts, id);
  attempt.server->End(request.info.traffic_class, attempt.started, now);
  if (IsOnline(request)) {
    EntryPool& pool = *request.pool;
    --pool.online_in_service;
    pool.workspaces_in_service.End(request.key.workspace);
    pool.callers_in_service.End(CallerFlow(request.key));
  }
  return attempt;
}

void EntryScheduler::Impl::CancelAttempts(TimePoint now, EntryRequest& request,
                                          AttemptId except, Actions& actions) {
  const std::vector<AttemptId> attempts = request.attempts;
  for (const AttemptId id : attempts) {
    if (id == except) continue;
    RemoveAttempt(now, id);
    actions.push_back(CancelAttemptAction{id});
  }
}

void EntryScheduler::Impl::Refuse(TimePoint now, EntryRequest& request,
                                  RefusalReason reason, Actions& actions) {
  RequireInvariant(!request.may_have_run && request.attempts.empty(),
                   "a refused request did not run");
  const TimePoint come_back_at =
      reason == RefusalReason::kQuarantined
          ? quarantine_.Until(request.info.fingerprint)
          : ComeBackAt(now, *request.pool);
  actions.push_back(RefuseAction{request.info.id, {reason, come_back_at}});
  Forget(request);
}

void EntryScheduler::Impl::GiveUp(TimePoint now, EntryRequest& request,
                                  RefusalReason reason, AttemptOutcome outcome,
                                  Actions& actions) {
  const bool in_flight = !request.attempts.empty();
  if (!in_flight && !request.may_have_run) {
    Refuse(now, request, reason, actions);
    return;
  }
  CancelAttempts(now, request, AttemptId(), actions);
  const bool not_run = outcome == AttemptOutcome::kNotSent ||
                       outcome == AttemptOutcome::kRefused;
  actions.push_back(FailAction{request.info.id,
                               not_run ? AttemptOutcome::kUnknown : outcome});
  Forget(request);
}

void EntryScheduler::Impl::Forget(EntryRequest& request) {
  RequireInvariant(request.attempts.empty(), "an answered request has ended");
  ReleaseServer(*request.pool, request.info.id);
  SetWake(request, kNever);
  requests_.erase(request.info.id);
}

TimePoint EntryScheduler::Impl::ComeBackAt(TimePoint now,
                                           const EntryPool& pool) {
  return pool.admission.ComeBackAt(now, pool.OnlineWaiting(),
                                   pool.online_in_service, rng_);
}

void EntryScheduler::Impl::Pump(TimePoint now, EntryPool& pool,
                                Actions& actions) {
  if (pool.router.InCount() == 0) RefuseWaiting(now, pool, actions);
  PumpSuspects(now, pool, actions);
  PumpAgain(now, pool, actions);
  PumpQueue(now, pool, TrafficClass::kOnline, actions);
  if (pool.OnlineWaiting() == 0) {
    PumpQueue(now, pool, TrafficClass::kBatch, actions);
  }
  if (pool.OnlineWaiting() + pool.batch.size() + pool.suspects.size() > 0) {
    poll_at_ = std::min(poll_at_, now + kPollEvery);
  }
}

// Nobody is left who could serve them: they are answered now, not held until
// their deadlines.
void EntryScheduler::Impl::RefuseWaiting(TimePoint now, EntryPool& pool,
                                         Actions& actions) {
  const auto next = [&pool]() {
    if (!pool.again.empty()) return std::optional(pool.again.front());
    if (!pool.suspects.empty()) return std::optional(pool.suspects.front());
    return std::optional<RequestId>();
  };
  for (auto id = next(); id; id = next()) {
    EntryRequest& request = requests_.at(*id);
    LeaveQueue(request);
    GiveUp(now, request, RefusalReason::kNoBackendServer,
           AttemptOutcome::kUnknown, actions);
  }
  for (FairQueue* queue : {&pool.online, &pool.batch}) {
    while (const auto id = queue->Pop([](FairQueueKey) { return true; })) {
      EntryRequest& request = requests_.at(*id);
      bounds_.Remove(request.info.traffic_class, request.key);
      Refuse(now, request, RefusalReason::kNoBackendServer, actions);
    }
  }
}

void EntryScheduler::Impl::PumpAgain(TimePoint now, EntryPool& pool,
                                     Actions& actions) {
  if (pool.again.empty()) return;
  const std::deque<RequestId> waiting = pool.again;
  for (const RequestId id : waiting) {
    EntryRequest& request = requests_.at(id);
    RouterServer* server = pool.router.Choose(
        now, {TrafficClass::kOnline, request.info.prefix_hashes, request.tried,
              false});
    if (server != nullptr) {
      std::erase(pool.again, id);
      Dispatch(now, request, *server, actions);
    } else if (!pool.router.HasUntried(request.tried)) {
      LeaveQueue(request);
      GiveUp(now, request, RefusalReason::kRetriesExhausted,
             AttemptOutcome::kUnknown, actions);
    }
  }
}

void EntryScheduler::Impl::PumpSuspects(TimePoint now, EntryPool& pool,
                                        Actions& actions) {
  if (pool.suspects.empty()) return;
  const std::deque<RequestId> waiting = pool.suspects;
  for (const RequestId id : waiting) {
    EntryRequest& request = requests_.at(id);
    if (quarantine_.StandingOf(now, request.info.fingerprint) ==
        QuarantineStanding::kQuarantined) {
      // Another copy of it, or another entry, has met the proof meanwhile.
      LeaveQueue(request);
      GiveUp(now, request, RefusalReason::kQuarantined,
             AttemptOutcome::kCrashed, actions);
    } else if (!pool.router.HasUntried(request.tried) &&
               !request.tried.empty()) {
      LeaveQueue(request);
      GiveUp(now, request, RefusalReason::kRetriesExhausted,
             AttemptOutcome::kCrashed, actions);
    } else if (!PumpIsolated(now, pool, request, actions)) {
      return;
    }
  }
}

// False when no server can be kept for this suspect yet.
bool EntryScheduler::Impl::PumpIsolated(TimePoint now, EntryPool& pool,
                                        EntryRequest& request,
                                        Actions& actions) {
  const RequestId id = request.info.id;
  auto kept = std::find_if(
      pool.isolations.begin(), pool.isolations.end(),
      [id](const EntryIsolation& item) { return item.request == id; });
  if (kept != pool.isolations.end() && !servers_.at(kept->server).in()) {
    ReleaseServer(pool, id);
    kept = pool.isolations.end();
  }
  if (kept == pool.isolations.end()) {
    const size_t most =
        std::max<size_t>(1, pool.router.InCount() / kServersPerIsolation);
    if (pool.isolations.size() >= most) return false;
    RouterServer* server = pool.router.LeastOwn(now, request.tried);
    if (server == nullptr) return false;
    server->set_isolating(true);
    pool.isolations.push_back({id, server->id()});
    kept = pool.isolations.end() - 1;
  }
  RouterServer& server = servers_.at(kept->server);
  if (server.own() > 0) return true;
  LeaveQueue(request);
  Dispatch(now, request, server, actions);
  return true;
}

void EntryScheduler::Impl::PumpQueue(TimePoint now, EntryPool& pool,
                                     TrafficClass traffic_class,
                                     Actions& actions) {
  const bool online = traffic_class == TrafficClass::kOnline;
  FairQueue& queue = online ? pool.online : pool.batch;
  while (!queue.empty() && pool.router.HasRoom(now, traffic_class)) {
    RequireInvariant(online || pool.OnlineWaiting() == 0,
                     "batch goes only when no online request waits");
    const auto id = queue.Pop([&](FairQueueKey key) {
      return !online || LeavesHeadroom(now, pool, key);
    });
    if (!id) return;
    EntryRequest& request = requests_.at(*id);
    bounds_.Remove(traffic_class, request.key);
    request.place = EntryRequestPlace::kServers;
    if (quarantine_.StandingOf(now, request.info.fingerprint) !=
            QuarantineStanding::kClear &&
        settings_.rules.quarantine) {
      // Became suspect or quarantined while it waited.
      const auto reason = RefusesOnArrival(now, pool, request);
      if (reason) {
        Refuse(now, request, *reason, actions);
      } else {
        Enqueue(request);
      }
      continue;
    }
    RouterServer* server = pool.router.Choose(
        now, {traffic_class, request.info.prefix_hashes, {}, false});
    RequireInvariant(server != nullptr, "a pool with room has a server");
    Dispatch(now, request, *server, actions);
  }
}

bool EntryScheduler::Impl::LeavesHeadroom(TimePoint now, const EntryPool& pool,
                                          FairQueueKey key) const {
  if (!settings_.rules.headroom) return true;
  if (!pool.workspaces_in_service.IsHeavy(key.workspace) &&
      !pool.callers_in_service.IsHeavy(CallerFlow(key))) {
    return true;
  }
  const RouterOccupancy occupancy =
      pool.router.Occupancy(now, TrafficClass::kOnline);
  const double share =
      occupancy.own / std::max(occupancy.own + occupancy.others, 1.0);
  const double headroom =
      std::max(pool.workspaces_in_service.HeadroomFor(key.workspace, share),
               pool.callers_in_service.HeadroomFor(CallerFlow(key), share));
  // What this entry has added since the last reports, the others have added in
  // proportion: they see the same free slots and no more of this entry than it
  // sees of them.
  const double unseen = std::max(occupancy.growth, 0.0) * occupancy.others /
                        std::max(occupancy.own, 1.0);
  return occupancy.free - unseen - headroom >= 1;
}

void EntryScheduler::Impl::PumpAllOf(TimePoint now, const RouterServer& server,
                                     Actions& actions) {
  for (const std::string& target : server.targets()) {
    Pump(now, pools_.at(target), actions);
  }
}

void EntryScheduler::Impl::Dispatch(TimePoint now, EntryRequest& request,
                                    RouterServer& server, Actions& actions) {
  RequireInvariant(std::find(request.tried.begin(), request.tried.end(),
                             server.id()) == request.tried.end(),
                   "a request is sent to a server once");
  const AttemptId id(++last_attempt_);
  attempts_.emplace(id, Attempt{request.info.id, &server, now, false,
                                request.pool->router.chose_home()});
  request.attempts.push_back(id);
  request.tried.push_back(server.id());
  request.place = EntryRequestPlace::kServers;
  server.Start(request.info.traffic_class, now);
  EntryPool& pool = *request.pool;
  if (IsOnline(request)) {
    ++pool.online_in_service;
    pool.workspaces_in_service.Start(request.key.workspace);
    pool.callers_in_service.Start(CallerFlow(request.key));
  }
  actions.push_back(DispatchAction{request.info.id, id, server.id()});
  TimePoint wake = request.info.deadline;
  const auto hedge_after = pool.first_output_times.hedge_after();
  const bool may_hedge = IsOnline(request) && request.info.idempotent &&
                         !request.suspect && !request.hedged;
  if (may_hedge && hedge_after) wake = std::min(wake, now + *hedge_after);
  SetWake(request, wake);
}

void EntryScheduler::Impl::Hedge(TimePoint now, EntryRequest& request,
                                 Actions& actions) {
  EntryPool& pool = *request.pool;
  RequireInvariant(request.attempts.size() == 1, "one attempt is hedged");
  pool.router.OnLate(now, *attempts_.at(request.attempts[0]).server);
  request.hedged = true;
  SetWake(request, request.info.deadline);
  if (!settings_.rules.hedges) return;
  if (pool.budget.tokens() < 1 + kRetryReserve) return;
  RouterServer* server = pool.router.Choose(
      now,
      {TrafficClass::kOnline, request.info.prefix_hashes, request.tried, true});
  if (server == nullptr || !pool.budget.TrySpend(kRetryReserve)) return;
  Dispatch(now, request, *server, actions);
}

void EntryScheduler::Impl::OnBackendServerUp(TimePoint now, BackendServerId id,
                                             std::vector<std::string> targets,
                                             std::string availability_zone,
                                             Actions& actions) {
  now_ = now;
  const auto [place, added] = servers_.try_emplace(id, id);
  RouterServer& server = place->second;
  if (!added && !server.gone()) LeavePools(server);
  if (!server.in()) server.ComeUp();
  server.set_gone(false);
  server.Describe(std::move(targets), std::move(availability_zone),
                  settings_.availability_zone);
  JoinPools(server);
  PumpAllOf(now, server, actions);
}

void EntryScheduler::Impl::OnBackendServerLeaving(TimePoint now,
                                                  BackendServerId id) {
  now_ = now;
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  found->second.Leave();
  // Waiting requests may have lost their last server: answer them soon.
  poll_at_ = std::min(poll_at_, now);
}

void EntryScheduler::Impl::OnBackendServerDown(TimePoint now,
                                               BackendServerId id) {
  OnBackendServerLeaving(now, id);
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.gone()) return;
  LeavePools(found->second);
  found->second.set_gone(true);
  ForgetGoneServers();
}

// A server that is gone is kept until its last attempt has been reported.
void EntryScheduler::Impl::ForgetGoneServers() {
  std::erase_if(servers_, [](const auto& item) {
    const RouterServer& server = item.second;
    return server.gone() && server.own() == 0 && !server.isolating();
  });
}

void EntryScheduler::Impl::OnLoad(TimePoint now, BackendServerId id,
                                  const LoadReport& load, Actions& actions) {
  now_ = now;
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  found->second.OnLoad(load);
  PumpAllOf(now, found->second, actions);
}

void EntryScheduler::Impl::OnQuarantined(uint64_t fingerprint,
                                         TimePoint until) {
  quarantine_.Learn(fingerprint, until);
}

void EntryScheduler::Impl::OnTick(TimePoint now, Actions& actions) {
  now_ = now;
  while (!wakes_.empty() && wakes_.begin()->at <= now) {
    EntryRequest& request = requests_.at(wakes_.begin()->request);
    SetWake(request, kNever);
    OnWake(now, request, actions);
  }
  if (poll_at_ > now) return;
  poll_at_ = kNever;
  for (auto& [target, pool] : pools_) Pump(now, pool, actions);
}

void EntryScheduler::Impl::OnWake(TimePoint now, EntryRequest& request,
                                  Actions& actions) {
  EntryPool& pool = *request.pool;
  if (request.place != EntryRequestPlace::kServers) {
    LeaveQueue(request);
    GiveUp(now, request, RefusalReason::kDeadline, AttemptOutcome::kTimeout,
           actions);
  } else if (now < request.info.deadline) {
    Hedge(now, request, actions);
  } else {
    GiveUp(now, request, RefusalReason::kDeadline, AttemptOutcome::kTimeout,
           actions);
    Pump(now, pool, actions);
  }
}

TimePoint EntryScheduler::Impl::LatestDispatch(
    const EntryRequest& request) const {
  if (request.info.deadline == kNever) return kNever;
  if (!settings_.rules.deadline_refusal) return request.info.deadline;
  return request.info.deadline - request.pool->first_output_times.late();
}

void EntryScheduler::Impl::SetWake(EntryRequest& request, TimePoint wake) {
  if (request.wake == wake) return;
  if (request.wake != kNever) wakes_.erase({request.wake, request.info.id});
  request.wake = wake;
  if (wake != kNever) wakes_.insert({wake, request.info.id});
}

TimePoint EntryScheduler::Impl::NextWake() const {
  const TimePoint first = wakes_.empty() ? kNever : wakes_.begin()->at;
  return std::min(first, poll_at_);
}

size_t EntryScheduler::Impl::BatchRoom(const std::string& target) const {
  const auto found = pools_.find(target);
  if (found == pools_.end()) return 0;
  const EntryPool& pool = found->second;
  if (pool.OnlineWaiting() > 0) return 0;
  const auto free = static_cast<size_t>(
      pool.router.Occupancy(now_, TrafficClass::kBatch).free);
  const size_t bound =
      settings_.queue_limit - bounds_.waiting(TrafficClass::kBatch);
  const size_t waiting = pool.batch.size();
  return std::min(bound, free > waiting ? free - waiting : 0);
}

std::vector<std::pair<uint64_t, TimePoint>> EntryScheduler::Impl::Quarantined()
    const {
  return quarantine_.FoundHere();
}

void EntryScheduler::Impl::ReleaseServer(EntryPool& pool, RequestId request) {
  const auto kept = std::find_if(pool.isolations.begin(), pool.isolations.end(),
                                 [request](const EntryIsolation& isolation) {
                                   return isolation.request == request;
                                 });
  if (kept == pool.isolations.end()) return;
  servers_.at(kept->server).set_isolating(false);
  pool.isolations.erase(kept);
}

void EntryScheduler::Impl::JoinPools(RouterServer& server) {
  for (const std::string& target : server.targets()) {
    PoolFor(target).router.Add(&server);
  }
}

void EntryScheduler::Impl::LeavePools(RouterServer& server) {
  for (const std::string& target : server.targets()) {
    PoolFor(target).router.Remove(server.id());
  }
}

EntryPool& EntryScheduler::Impl::PoolFor(const std::string& target) {
  const auto found = pools_.find(target);
  if (found != pools_.end()) return found->second;
  return pools_.try_emplace(target, settings_, rng_()).first->second;
}

}  // namespace knapweedstile::decide
