#include <utility>

#include "base/clock.h"
#include "online/online_calls.h"

// Calls that wait at the gateway for a slot, and those that are rejected
// because none becomes free in time.
namespace knapweedstile::gateway {
namespace {

using admission::WaitVerdict;
using serving::PlacementOutcome;

// Servers that policies exclude may be the full ones: the next requests of the
// queue are tried too, up to this many.
constexpr int kMaxUnplaced = 4;

}  // namespace

// Servers in backoff count: after a rejection as full, their slots still run
// and become free. Of one that does not answer, the ends are missing.
uint32_t OnlineCalls::SlotsOf(const std::string& service) const {
  uint32_t slots = 0;
  for (const BackendServerId id : scheduler_.Servers()) {
    const serving::ServerRecord* record = scheduler_.Record(id);
    const bool counts = record->service == service && !record->draining &&
                        scheduler_.Find(record->instance) == id;
    if (counts) slots += record->slots;
  }
  return slots;
}

admission::Standing OnlineCalls::StandingOf(const OnlineCall& call) const {
  return callbacks_.standing ? callbacks_.standing(call.service, call.workspace)
                             : admission::Standing::kWithinShare;
}

void OnlineCalls::WaitOrReject(OnlineCall& call) {
  const WaitVerdict verdict = waiting_.Offer(
      call, StandingOf(call), SlotsOf(call.service), MonotonicNow(), next_run_);
  if (verdict != WaitVerdict::kWaits) {
    return RejectSaturated(call, verdict);
  }
  // Those behind it may no longer fit.
  RejectHopeless(std::string(call.service), MonotonicNow());
}

void OnlineCalls::RejectSaturated(OnlineCall& call, WaitVerdict verdict) {
  call.wait_verdict = verdict;
  metrics_.Add("knap_wait_rejected_total", {std::string(NameOf(verdict))});
  const Duration promised = waiting_.PromiseReturn(
      call, call.backlog, SlotsOf(call.service), MonotonicNow());
  Reject(call, promised, NameOf(PlacementOutcome::kSaturated));
}

void OnlineCalls::ServeWaiting(const std::string& service) {
  if (serving_waiting_) return;
  PlaceWaiting(waiting_.Waiting(service));
  RejectHopeless(service, MonotonicNow());
}

void OnlineCalls::PlaceWaiting(const std::vector<ExchangeId>& waiting) {
  if (serving_waiting_) return;
  serving_waiting_ = true;
  int unplaced = 0;
  for (const ExchangeId id : waiting) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    OnlineCall& call = found->second;
    if (RejectQuarantined(call)) continue;
    const TimePoint now = MonotonicNow();
    const auto placement = scheduler_.PlaceOnline(
        call.service, QueueObjective(call), FilterOf(call), now);
    if (placement.outcome == PlacementOutcome::kSaturated) {
      call.backlog = placement.retry_after;
      if (call.excluded.empty() || ++unplaced == kMaxUnplaced) break;
      continue;
    }
    waiting_.Remove(call, now);
    if (placement.outcome == PlacementOutcome::kPlaced) {
      metrics_.Observe("knap_waited_seconds", ToSeconds(call.waited));
      SendToPlacement(call, placement);
    } else {
      // All leave at the same moment: they do not return together.
      const Duration after = waiting_.PromiseReturn(call, placement.retry_after,
                                                    SlotsOf(call.service), now);
      Reject(call, after, NameOf(placement.outcome));
    }
  }
  serving_waiting_ = false;
}

void OnlineCalls::RejectHopeless(const std::string& service,
                                 TimePoint next_check) {
  if (!waiting_.HasWaiting(service)) return;
  const TimePoint now = MonotonicNow();
  for (const auto& one :
       waiting_.TakeHopeless(service, SlotsOf(service), now, next_check)) {
    const auto found = calls_.find(one.id);
    if (found == calls_.end()) continue;
    waiting_.Remove(found->second, now);
    RejectSaturated(found->second, one.cause);
  }
}

void OnlineCalls::ServeAllWaiting() {
  for (const std::string& service : waiting_.ServicesWithWaiting()) {
    ServeWaiting(service);
  }
}

void OnlineCalls::OnPeerReturns(const std::string& peer,
                                const ReturnsByService& returns) {
  waiting_.SetPeerReturns(peer, returns, MonotonicNow());
}

void OnlineCalls::OnPeerUsage() {
  const TimePoint now = MonotonicNow();
  if (now < served_at_ + kServePause) return;
  served_at_ = now;
  ServeAllWaiting();
}

void OnlineCalls::Run(TimePoint now, TimePoint next_run) {
  next_run_ = next_run;
  for (const std::string& service : waiting_.ServicesWithWaiting()) {
    ServeWaiting(service);
    RejectHopeless(service, next_run);
  }
  waiting_.Expire(now);
}

}  // namespace knapweedstile::gateway
