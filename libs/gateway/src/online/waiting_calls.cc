#include "online/waiting_calls.h"

#include <algorithm>

#include "base/hash.h"
#include "observe/metrics.h"
#include "online/online_call.h"

namespace knapweedstile::gateway {
namespace {

using admission::WaitVerdict;

// Part of the latency objective that a request may wait at the gateway. A
// caller that is rejected soon after it came can still be served in time by its
// next attempt; what is left of the objective is for the queue at the server.
constexpr int kWaitDivisor = 4;

// Workspaces may send the same request: each has its own place.
uint64_t PlaceOf(const OnlineCall& call) {
  return HashCombine(call.fingerprint, Hash64(call.workspace));
}

}  // namespace

WaitingCalls::WaitingCalls(observe::Metrics& metrics, uint64_t seed)
    : metrics_(metrics), seed_(seed) {}

WaitingCalls::Service& WaitingCalls::ServiceOf(const std::string& name) {
  const uint64_t hash = Hash64(name);
  const auto found = services_.find(hash);
  if (found != services_.end()) return found->second;
  Service service{.name = name,
                  .returns = admission::ReturnSchedule(seed_ ^ hash)};
  return services_.emplace(hash, std::move(service)).first->second;
}

const WaitingCalls::Service* WaitingCalls::FindService(
    const std::string& name) const {
  const auto found = services_.find(Hash64(name));
  return found == services_.end() ? nullptr : &found->second;
}

void WaitingCalls::OnArrival(OnlineCall& call, TimePoint now) {
  Service& service = ServiceOf(call.service);
  service.rate.OnOffered(now);
  service.returns.OnArrival(now);
  call.returns_as_asked = service.returns.TakeReturn(PlaceOf(call), now);
  if (call.returns_as_asked) metrics_.Add("knap_returns_total", {"as_asked"});
}

void WaitingCalls::OnResponse(const OnlineCall& call, TimePoint now) {
  response_times_[call.route.name].Observe(now - call.sent_at);
}

void WaitingCalls::OnFreed(const std::string& service, TimePoint now) {
  ServiceOf(service).rate.OnFreed(now);
}

TimePoint WaitingCalls::StartBy(const OnlineCall& call) const {
  const auto response = response_times_.find(call.route.name);
  const Duration typical =
      response == response_times_.end() ? Duration{} : response->second.value();
  const TimePoint received = call.request.received_at;
  const Duration objective = call.route.latency_objective;
  return std::min({received + objective / kWaitDivisor,
                   received + objective - typical, call.deadline - typical});
}

admission::WaitRequest WaitingCalls::RequestOf(
    const OnlineCall& call, admission::Standing standing) const {
  return {.id = call.caller,
          .standing = standing,
          .less_urgent = call.less_urgent,
          .returns_as_asked = call.returns_as_asked,
          .deadline = call.deadline,
          .start_by = StartBy(call)};
}

WaitVerdict WaitingCalls::Offer(OnlineCall& call, admission::Standing standing,
                                uint32_t slots, TimePoint now,
                                TimePoint next_check) {
  Service& service = ServiceOf(call.service);
  service.rate.OnSaturated(slots, now);
  const WaitVerdict verdict =
      service.queue.Offer(RequestOf(call, standing),
                          service.rate.Flow(slots, now), now, next_check);
  if (verdict == WaitVerdict::kWaits) call.waits_since = now;
  return verdict;
}

void WaitingCalls::Remove(OnlineCall& call, TimePoint now) {
  if (call.waits_since == kNever) return;
  ServiceOf(call.service).queue.Remove(call.caller);
  call.waited += now - call.waits_since;
  call.waits_since = kNever;
}

std::vector<admission::WaitQueue::Rejected> WaitingCalls::TakeHopeless(
    const std::string& name, uint32_t slots, TimePoint now,
    TimePoint next_check) {
  Service& service = ServiceOf(name);
  if (service.queue.empty()) return {};
  service.rate.OnSaturated(slots, now);
  return service.queue.TakeHopeless(service.rate.Flow(slots, now), now,
                                    next_check);
}

Duration WaitingCalls::PromiseReturn(const OnlineCall& call, Duration backlog,
                                     uint32_t slots, TimePoint now) {
  Service& service = ServiceOf(call.service);
  return service.returns.Promise(
      PlaceOf(call), Remaining(call.deadline, now), backlog,
      service.rate.Flow(slots, now).freed_per_second, now);
}

// A service that the peer does not list has no promised returns there.
void WaitingCalls::SetPeerReturns(const std::string& peer,
                                  const ReturnsByService& returns,
                                  TimePoint now) {
  for (auto& [hash, service] : services_) {
    const auto found = returns.find(hash);
    service.returns.SetPeerReturns(
        peer,
        found == returns.end() ? admission::PromisedReturns() : found->second,
        now);
  }
}

void WaitingCalls::Expire(TimePoint now) {
  for (auto& [hash, service] : services_) {
    const uint32_t elsewhere = service.returns.Expire(now);
    if (elsewhere > 0)
      metrics_.Add("knap_returns_total", {"elsewhere"}, elsewhere);
  }
}

ReturnsByService WaitingCalls::Promised(TimePoint now) {
  ReturnsByService returns;
  for (auto& [hash, service] : services_) {
    admission::PromisedReturns promised = service.returns.Promised(now);
    if (!promised.empty()) returns.emplace(hash, std::move(promised));
  }
  return returns;
}

bool WaitingCalls::HasWaiting(const std::string& service) const {
  const Service* found = FindService(service);
  return found && !found->queue.empty();
}

std::vector<ExchangeId> WaitingCalls::Waiting(
    const std::string& service) const {
  const Service* found = FindService(service);
  return found ? found->queue.Ids() : std::vector<ExchangeId>();
}

std::vector<ExchangeId> WaitingCalls::WaitingBefore(
    const OnlineCall& call, admission::Standing standing) const {
  const Service* found = FindService(call.service);
  return found ? found->queue.IdsBefore(RequestOf(call, standing))
               : std::vector<ExchangeId>();
}

std::vector<std::string> WaitingCalls::ServicesWithWaiting() const {
  std::vector<std::string> names;
  for (const auto& [hash, service] : services_) {
    if (!service.queue.empty()) names.push_back(service.name);
  }
  return names;
}

size_t WaitingCalls::size() const {
  size_t waiting = 0;
  for (const auto& [hash, service] : services_) waiting += service.queue.size();
  return waiting;
}

size_t WaitingCalls::promised() const {
  size_t promised = 0;
  for (const auto& [hash, service] : services_)
    promised += service.returns.open();
  return promised;
}

}  // namespace knapweedstile::gateway
