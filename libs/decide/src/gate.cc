#include "decide/gate.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

#include "base/hash.h"
#include "base/rng.h"
#include "batch_due.h"
#include "batch_queue.h"
#include "batch_shares.h"
#include "decide/gate_settings.h"
#include "decide/sharing_rule.h"
#include "gate_demand_meter.h"
#include "gate_estimates.h"
#include "gate_idle_slots.h"
#include "gate_invariant.h"
#include "gate_request.h"

namespace knapweedstile::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How long a slot that online has left stays idle before batch gets it. Ground:
// what resuming a stream costs (its context computed anew); waiting as long as
// the cost bounds the loss to twice the best. Measured with gate_bench: a
// sixteenth fewer parks than with none, for a hundredth of batch; 500 ms costs
// four.
constexpr Duration kBatchReturn = milliseconds(100);
// How long the start of a batch stream holds back the next one, unless its
// first output comes earlier. Ground: the time to compute a prompt of a
// thousand tokens (some hundred milliseconds), with room; it bounds what a
// backend server that tells no output (a plain service) loses. Measured: p99
// TTFT 1.07x instead of 1.23x where prompts share the engine's time.
constexpr Duration kBatchPace = milliseconds(250);
// How long a batch stream may hold its slot before it gives way to a shorter or
// more urgent item. Measured, one item in fifty running for minutes: the p99 of
// the short ones falls from 107 s to 63 s, for 3% of batch slot time (5 s: 59 s
// for 5%; 20 s: 80 s for 2%).
constexpr Duration kTurn = seconds(10);
// "Shorter" means at most one half of what the running stream has left.
constexpr uint32_t kShorterBy = 2;
// How often turns are looked at while batch waits.
constexpr Duration kTurnCheck = seconds(1);
// How long an item displaced by online waits here before it is given back to
// the entry. Ground: idle capacity elsewhere lasts seconds. To be measured.
constexpr Duration kDisplacedLimit = seconds(5);
// How long other items wait while no batch stream is started here. Counted from
// the last start: a queue that moves gives nothing back, since items would move
// about between engines that are all as busy. To be measured.
constexpr Duration kStandstillLimit = seconds(30);
// Tokens of prompt that cost as much as one produced token. Ground: prefill
// runs in parallel, about ten to thirty times as fast. To be measured.
constexpr uint32_t kPromptTokensPerCharge = 16;
// The least time until a refused client should come back, also while nothing is
// known of the backend server. To be measured.
constexpr Duration kLeastComeBack = milliseconds(200);

Duration Spread(Rng& rng, Duration base) {
  const auto span = static_cast<uint64_t>(std::max<int64_t>(1, base.count()));
  return base + Duration(static_cast<int64_t>(UniformBelow(rng, span)));
}

GateRequest MakeGateRequest(TimePoint now, const RequestInfo& info) {
  GateRequest request;
  request.id = info.id;
  request.traffic_class = info.traffic_class;
  request.owner = {Hash64(info.workspace), Hash64(info.caller)};
  request.deadline = info.deadline;
  request.due = info.due;
  request.queued_at = now;
  request.waiting_since = now;
  request.prompt_tokens = info.prompt_tokens;
  request.max_tokens = info.max_tokens;
  return request;
}

}  // namespace

class Gate::Impl {
 public:
  using Actions = std::vector<GateAction>;

  Impl(const GateSettings& settings, uint64_t seed)
      : settings_(settings),
        rng_(seed),
        batch_(settings_.rules, shares_),
        idle_(settings.slots) {}

  void OnArrival(TimePoint now, const RequestInfo& info, Actions& actions) {
    CheckInvariant(!Knows(info.id), "a request arrives once");
    if (draining_) return Refuse(now, info, RefusalReason::kDraining, actions);
    if (!healthy_) {
      return Refuse(now, info, RefusalReason::kNoBackendServer, actions);
    }
    if (info.traffic_class == TrafficClass::kOnline) {
      OnOnlineArrival(now, info, actions);
    } else {
      OnBatchArrival(now, info, actions);
    }
    Settle(now, actions);
  }

  void OnOutput(TimePoint now, RequestId id, uint32_t tokens) {
    const auto found = running_.find(id);
    if (found == running_.end()) return;
    GateRequest& request = found->second;
    request.produced += tokens;
    if (!request.has_output) {
      request.has_output = true;
      if (id == pacing_) next_batch_start_ = now;
      EstimatesOf(request).OnFirstOutput(now - request.started_at);
    }
    if (IsBatch(request)) shares_.Charge(request.owner, tokens);
  }

  void OnEnded(TimePoint now, RequestId id, Actions& actions) {
    const auto found = running_.find(id);
    if (found == running_.end()) return;
    EstimatesOf(found->second).OnEnded(now - found->second.started_at);
    Forget(StopRunning(now, id));
    Settle(now, actions);
  }

  void OnCancel(TimePoint now, RequestId id, Actions& actions) {
    if (running_.contains(id)) {
      Forget(StopRunning(now, id));
    } else if (batch_.Contains(id)) {
      Forget(batch_.Take(id));
    } else {
      std::erase_if(online_, [&](const auto& r) { return r.id == id; });
    }
    Settle(now, actions);
  }

  void OnPolicy(TimePoint now, const SharingPolicy& policy, Actions& actions) {
    rule_ = MakeSharingRule(policy);
    Settle(now, actions);
  }

  void OnBackendServerHealth(TimePoint now, bool healthy, Actions& actions) {
    healthy_ = healthy;
    if (!healthy_) GiveBackWaiting(now, actions);
    Settle(now, actions);
  }

  void OnDrain(TimePoint now, Actions& actions) {
    draining_ = true;
    YieldWaitingBatch(actions);
    while (!running_batch_.empty()) {
      const RequestId id = running_batch_.back();
      Forget(StopRunning(now, id));
      actions.push_back(YieldAction{id});
    }
    Settle(now, actions);
  }

  void OnTick(TimePoint now, Actions& actions) {
    RefuseLate(now, actions);
    YieldStale(now, actions);
    TakeTurns(now, actions);
    Settle(now, actions);
  }

  TimePoint NextWake() const {
    TimePoint wake = kNever;
    for (const GateRequest& request : online_) {
      wake = std::min(wake, LatestStart(request));
    }
    if (batch_.Empty()) return wake;
    wake = std::min(wake, next_turn_check_);
    for (const GateRequest& item : batch_.Items()) {
      wake = std::min(wake, StaleAt(item));
    }
    // A slot that is ready for batch but not used is held back by the sharing
    // rule, whose demand changes slowly: the turn check sees to it.
    const TimePoint slot = std::max(idle_.NextForBatch(), next_batch_start_);
    return slot > last_settled_ ? std::min(wake, slot) : wake;
  }

  LoadReport Load(TimePoint now) const {
    LoadReport load;
    load.measured_at = now;
    load.slots = settings_.slots;
    load.online_running = OnlineRunning();
    load.online_waiting = static_cast<uint32_t>(online_.size());
    load.batch_running = static_cast<uint32_t>(running_batch_.size());
    load.batch_waiting = static_cast<uint32_t>(batch_.Size());
    return load;
  }

  bool Idle() const {
    return running_.empty() && online_.empty() && batch_.Empty();
  }

 private:
  static bool IsBatch(const GateRequest& request) {
    return request.traffic_class == TrafficClass::kBatch;
  }

  // Arrivals.

  void OnOnlineArrival(TimePoint now, const RequestInfo& info,
                       Actions& actions) {
    if (online_.size() >= settings_.online_waiting && OnlineIsFull()) {
      return Refuse(now, info, RefusalReason::kQueueFull, actions);
    }
    if (settings_.rules.refuse_late && CannotStartInTime(now, info.deadline)) {
      return Refuse(now, info, RefusalReason::kDeadline, actions);
    }
    online_.push_back(MakeGateRequest(now, info));
  }

  void OnBatchArrival(TimePoint now, const RequestInfo& info,
                      Actions& actions) {
    if (batch_.Size() >= settings_.batch_waiting) {
      return Refuse(now, info, RefusalReason::kQueueFull, actions);
    }
    GateRequest item = MakeGateRequest(now, info);
    shares_.OnItemIn(item.owner);
    batch_.Push(item);
    // From here on, so that an item is not turned on at its arrival.
    next_turn_check_ = std::min(next_turn_check_, now + kTurnCheck);
  }

  // True when every slot runs online, so that one more has to wait.
  bool OnlineIsFull() const {
    return OnlineRunning() >= settings_.slots || !settings_.rules.preempt_batch;
  }

  bool CannotStartInTime(TimePoint now, TimePoint deadline) const {
    if (deadline == kNever) return false;
    Duration wait = online_estimates_.FirstOutput();
    if (OnlineRunning() >= settings_.slots) {
      wait += online_estimates_.Wait(online_.size(), settings_.slots);
    }
    return now + wait > deadline;
  }

  TimePoint LatestStart(const GateRequest& request) const {
    if (request.deadline == kNever) return kNever;
    return request.deadline - online_estimates_.FirstOutput();
  }

  void Refuse(TimePoint now, const RequestInfo& info, RefusalReason reason,
              Actions& actions) {
    actions.push_back(
        GateRefuseAction{info.id, {reason, ComeBackAt(now, info)}});
  }

  // When the backlog in front of such a request will have started, spread over
  // as long again: clients refused together then do not return together.
  TimePoint ComeBackAt(TimePoint now, const RequestInfo& info) {
    const bool online = info.traffic_class == TrafficClass::kOnline;
    const size_t ahead = online ? online_.size() : batch_.Size();
    const Duration wait = online
                              ? online_estimates_.Wait(ahead, settings_.slots)
                              : batch_estimates_.Wait(ahead, BatchSlots(now));
    return now + Spread(rng_, std::max(wait, kLeastComeBack));
  }

  uint32_t BatchSlots(TimePoint now) const {
    const uint32_t left = settings_.slots - OnlineRunning();
    return std::min(left, CurrentLimit(now).start);
  }

  // Rules applied after each event, in this order.

  void Settle(TimePoint now, Actions& actions) {
    last_settled_ = now;
    demand_.OnLevel(now,
                    OnlineRunning() + static_cast<uint32_t>(online_.size()));
    if (healthy_) {
      ParkBeyondLimit(now, actions);
      StartOnline(now, actions);
      if (!draining_) StartBatch(now, actions);
    }
    CheckInvariants();
  }

  void StartOnline(TimePoint now, Actions& actions) {
    while (!online_.empty()) {
      const bool prompt_stopped = StopBatchPrompt(now, actions);
      if (idle_.Count() == 0 && !MakeRoom(now, actions)) return;
      GateRequest request = online_.front();
      online_.pop_front();
      idle_.TakeForOnline();
      if (prompt_stopped) PaceAfter(now, request.id);
      Start(now, request, actions);
    }
  }

  // An engine computes prompts in the order of their start: a batch prompt that
  // is being computed would hold back the online one behind it.
  bool StopBatchPrompt(TimePoint now, Actions& actions) {
    const auto found = running_.find(pacing_);
    if (!settings_.rules.pace_batch || found == running_.end()) return false;
    const GateRequest& item = found->second;
    if (!IsBatch(item) || item.has_output || next_batch_start_ <= now) {
      return false;
    }
    Displace(now, item.id, actions);
    return true;
  }

  // Holds back batch starts until the request's first output, or for a while.
  void PaceAfter(TimePoint now, RequestId id) {
    pacing_ = id;
    next_batch_start_ = now + kBatchPace;
  }

  bool MakeRoom(TimePoint now, Actions& actions) {
    if (!settings_.rules.preempt_batch || running_batch_.empty()) return false;
    Displace(now, Victim(now), actions);
    return true;
  }

  void StartBatch(TimePoint now, Actions& actions) {
    const uint32_t limit = CurrentLimit(now).start;
    while (running_batch_.size() < limit && idle_.NextForBatch() <= now &&
           next_batch_start_ <= now) {
      const GateRequest* next = batch_.Next(now);
      if (next == nullptr) return;
      StartBatchItem(now, batch_.Take(next->id), actions);
    }
  }

  void StartBatchItem(TimePoint now, const GateRequest& item,
                      Actions& actions) {
    batch_.OnPicked();
    last_batch_start_ = now;
    idle_.TakeForBatch();
    shares_.OnStarted(item.owner);
    shares_.Charge(item.owner, item.Context() / kPromptTokensPerCharge + 1);
    running_batch_.push_back(item.id);
    if (settings_.rules.pace_batch) PaceAfter(now, item.id);
    Start(now, item, actions);
  }

  void Start(TimePoint now, GateRequest request, Actions& actions) {
    request.started_at = now;
    request.has_output = false;
    request.parked = false;
    request.displaced = false;
    actions.push_back(StartAction{request.id});
    running_.emplace(request.id, request);
  }

  // A policy that allows fewer streams than run has come into force.
  void ParkBeyondLimit(TimePoint now, Actions& actions) {
    const uint32_t keep = CurrentLimit(now).keep;
    while (running_batch_.size() > keep) Displace(now, Victim(now), actions);
  }

  // The stream that loses least: of the latest due class, in it the one with
  // the least context to compute anew.
  RequestId Victim(TimePoint now) const {
    RequestId victim;
    std::pair<int64_t, uint32_t> least;
    for (const RequestId id : running_batch_) {
      const GateRequest& item = running_.at(id);
      const int64_t due_class =
          settings_.rules.due_order ? DueClass(item.due, now) : 0;
      const std::pair loss(-due_class, item.Context());
      if (victim && least <= loss) continue;
      victim = id;
      least = loss;
    }
    return victim;
  }

  void Displace(TimePoint now, RequestId id, Actions& actions) {
    GateRequest item = StopRunning(now, id);
    item.displaced = true;
    Park(now, item, actions);
  }

  // Queues a stopped batch stream, within the bound.
  void Park(TimePoint now, GateRequest item, Actions& actions) {
    if (batch_.Size() >= settings_.batch_waiting &&
        !YieldLastNew(now, actions)) {
      Forget(item);
      actions.push_back(YieldAction{item.id});
      return;
    }
    item.parked = true;
    item.waiting_since = now;
    actions.push_back(ParkAction{item.id});
    batch_.Push(item);
    next_turn_check_ = std::min(next_turn_check_, now + kTurnCheck);
  }

  // Makes room in a full batch queue at the cost of an item that has not run.
  bool YieldLastNew(TimePoint now, Actions& actions) {
    const GateRequest* last = batch_.LastNew(now);
    if (last == nullptr) return false;
    YieldWaiting(last->id, actions);
    return true;
  }

  // Rules applied with time.

  void RefuseLate(TimePoint now, Actions& actions) {
    const auto late = [&](const GateRequest& request) {
      return LatestStart(request) <= now;
    };
    for (const GateRequest& request : online_) {
      if (late(request))
        RefuseWaiting(now, request, RefusalReason::kDeadline, actions);
    }
    std::erase_if(online_, late);
  }

  void YieldStale(TimePoint now, Actions& actions) {
    if (!settings_.rules.yield_stale) return;
    const auto stale = [&](const auto& item) { return StaleAt(item) <= now; };
    const auto& items = batch_.Items();
    for (auto item = std::find_if(items.begin(), items.end(), stale);
         item != items.end();
         item = std::find_if(items.begin(), items.end(), stale)) {
      YieldWaiting(item->id, actions);
    }
  }

  // One turn a look: a long stream gives its slot to the next item.
  void TakeTurns(TimePoint now, Actions& actions) {
    if (now < next_turn_check_) return;
    next_turn_check_ = batch_.Empty() ? kNever : now + kTurnCheck;
    if (!settings_.rules.take_turns || !healthy_ || draining_) return;
    const GateRequest* next = batch_.Next(now);
    if (next == nullptr) return;
    const auto found = std::find_if(
        running_batch_.begin(), running_batch_.end(),
        [&](RequestId id) { return MustGiveWay(now, running_.at(id), *next); });
    if (found != running_batch_.end()) Swap(now, *found, next->id, actions);
  }

  void Swap(TimePoint now, RequestId out, RequestId in, Actions& actions) {
    GateRequest item = StopRunning(now, out);
    item.queued_at = now;
    GateRequest next = batch_.Take(in);
    Park(now, item, actions);
    StartBatchItem(now, next, actions);
  }

  // After its turn a stream gives way to an item that is more urgent, much
  // shorter, or of a workspace that holds clearly fewer slots.
  bool MustGiveWay(TimePoint now, const GateRequest& running,
                   const GateRequest& next) const {
    if (running.started_at + kTurn > now) return false;
    const uint32_t running_class = DueClass(running.due, now);
    const uint32_t next_class = DueClass(next.due, now);
    if (next_class != running_class) return next_class < running_class;
    if (next.Left() * kShorterBy <= running.Left()) return true;
    return shares_.Running(running.owner) > shares_.Running(next.owner) + 1;
  }

  // Ends.

  // Queued requests cannot run here: online is refused, so that its entry tries
  // elsewhere, and batch goes back.
  void GiveBackWaiting(TimePoint now, Actions& actions) {
    for (const GateRequest& request : online_) {
      RefuseWaiting(now, request, RefusalReason::kNoBackendServer, actions);
    }
    online_.clear();
    YieldWaitingBatch(actions);
  }

  void RefuseWaiting(TimePoint now, const GateRequest& request,
                     RefusalReason reason, Actions& actions) {
    const Duration wait =
        online_estimates_.Wait(online_.size(), settings_.slots);
    const TimePoint back = now + Spread(rng_, std::max(wait, kLeastComeBack));
    actions.push_back(GateRefuseAction{request.id, {reason, back}});
  }

  void YieldWaitingBatch(Actions& actions) {
    while (!batch_.Empty()) YieldWaiting(batch_.Items().back().id, actions);
  }

  void YieldWaiting(RequestId id, Actions& actions) {
    Forget(batch_.Take(id));
    actions.push_back(YieldAction{id});
  }

  GateRequest StopRunning(TimePoint now, RequestId id) {
    const auto found = running_.find(id);
    GateRequest request = found->second;
    running_.erase(found);
    if (id == pacing_) next_batch_start_ = now;
    if (IsBatch(request)) {
      std::erase(running_batch_, id);
      shares_.OnStopped(request.owner);
      idle_.Release(now);
    } else {
      idle_.Release(now + ReturnDelay());
    }
    return request;
  }

  void Forget(const GateRequest& request) {
    if (IsBatch(request)) shares_.OnItemOut(request.owner);
  }

  // Queries.

  bool Knows(RequestId id) const {
    return running_.contains(id) || batch_.Contains(id) ||
           std::any_of(online_.begin(), online_.end(),
                       [&](const auto& r) { return r.id == id; });
  }

  uint32_t OnlineRunning() const {
    return static_cast<uint32_t>(running_.size() - running_batch_.size());
  }

  BatchLimit CurrentLimit(TimePoint now) const {
    return LimitOf(rule_, settings_.slots, demand_.Demand(now));
  }

  Duration ReturnDelay() const {
    return settings_.rules.return_delay ? kBatchReturn : Duration::zero();
  }

  TimePoint StaleAt(const GateRequest& item) const {
    if (item.displaced) return item.waiting_since + kDisplacedLimit;
    return std::max(item.waiting_since, last_batch_start_) + kStandstillLimit;
  }

  GateEstimates& EstimatesOf(const GateRequest& request) {
    return IsBatch(request) ? batch_estimates_ : online_estimates_;
  }

  void CheckInvariants() const {
    CheckInvariant(running_.size() + idle_.Count() == settings_.slots,
                   "a slot runs one request or is idle");
    CheckInvariant(online_.size() <= settings_.online_waiting,
                   "the online queue keeps its bound");
    CheckInvariant(batch_.Size() <= settings_.batch_waiting,
                   "the batch queue keeps its bound");
    CheckInvariant(online_.empty() || running_batch_.empty() ||
                       !settings_.rules.preempt_batch || !healthy_,
                   "no online request waits behind batch");
  }

  const GateSettings settings_;
  Rng rng_;
  AnySharingRule rule_ = PriorityCancelRule{};
  bool healthy_ = true;
  bool draining_ = false;

  std::deque<GateRequest> online_;  // waiting, in order of arrival
  std::unordered_map<RequestId, GateRequest> running_;
  std::vector<RequestId> running_batch_;
  BatchShares shares_;
  BatchQueue batch_;
  GateIdleSlots idle_;

  GateDemandMeter demand_;
  GateEstimates online_estimates_;
  GateEstimates batch_estimates_;
  TimePoint next_turn_check_ = kNever;
  // Two prompts of batch computed at once would hold back an online request
  // that comes in between by both; the last start stands for its prompt.
  RequestId pacing_;
  TimePoint next_batch_start_ = TimePoint::min();
  TimePoint last_settled_;
  TimePoint last_batch_start_ = TimePoint::min();
};

Gate::Gate(const GateSettings& settings, uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Gate::~Gate() = default;

void Gate::OnArrival(TimePoint now, const RequestInfo& request,
                     std::vector<GateAction>& actions) {
  impl_->OnArrival(now, request, actions);
}
void Gate::OnOutput(TimePoint now, RequestId request, uint32_t tokens) {
  impl_->OnOutput(now, request, tokens);
}
void Gate::OnEnded(TimePoint now, RequestId request,
                   std::vector<GateAction>& actions) {
  impl_->OnEnded(now, request, actions);
}
void Gate::OnCancel(TimePoint now, RequestId request,
                    std::vector<GateAction>& actions) {
  impl_->OnCancel(now, request, actions);
}
void Gate::OnPolicy(TimePoint now, const SharingPolicy& policy,
                    std::vector<GateAction>& actions) {
  impl_->OnPolicy(now, policy, actions);
}
void Gate::OnBackendServerHealth(TimePoint now, bool healthy,
                                 std::vector<GateAction>& actions) {
  impl_->OnBackendServerHealth(now, healthy, actions);
}
void Gate::OnDrain(TimePoint now, std::vector<GateAction>& actions) {
  impl_->OnDrain(now, actions);
}
void Gate::OnTick(TimePoint now, std::vector<GateAction>& actions) {
  impl_->OnTick(now, actions);
}
TimePoint Gate::NextWake() const { return impl_->NextWake(); }
LoadReport Gate::Load(TimePoint now) const { return impl_->Load(now); }
bool Gate::Idle() const { return impl_->Idle(); }

}  // namespace knapweedstile::decide
