#ifndef KNAPWEEDSTILE_GATEWAY_WAITING_CALLS_H_
#define KNAPWEEDSTILE_GATEWAY_WAITING_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/freeing_rate.h"
#include "admission/return_schedule.h"
#include "admission/standing.h"
#include "admission/typical_time.h"
#include "admission/wait_queue.h"
#include "admission/wait_verdict.h"
#include "base/id.h"
#include "base/time.h"

namespace knapweedstile::observe {
class Metrics;
}

namespace knapweedstile::gateway {

struct OnlineCall;

// Promised returns of one gateway, by hash of the service.
using ReturnsByService = std::map<uint64_t, admission::PromisedReturns>;

// What a gateway knows about waiting and returning, by service: the requests
// that wait for a slot, the rate at which slots become free, and the promised
// returns. The caller passes the time.
//
// Designed for bursts beyond all slots: a request waits only if a slot becomes
// free while the caller could still be served elsewhere, and every other one is
// rejected at once with a moment at which there is room.
class WaitingCalls {
 public:
  WaitingCalls(observe::Metrics& metrics, uint64_t seed);

  // Commands: requests.
  void OnArrival(OnlineCall& call, TimePoint now);
  // Time from sending a request of the route to its first event, or to its
  // response if that is no stream.
  void OnResponse(const OnlineCall& call, TimePoint now);
  // A request of the service has ended.
  void OnFreed(const std::string& service, TimePoint now);

  // Decisions. `slots`: of the service; `next_check`: when TakeHopeless() is
  // called next at the latest. Offer: after kWaits the call waits.
  admission::WaitVerdict Offer(OnlineCall& call, admission::Standing standing,
                               uint32_t slots, TimePoint now,
                               TimePoint next_check);
  // Removes a call that is placed, rejected, or whose caller has left.
  void Remove(OnlineCall& call, TimePoint now);
  // Removes those that will not be placed in time, or whose time ends before
  // `next_check`.
  std::vector<admission::WaitQueue::Rejected> TakeHopeless(
      const std::string& service, uint32_t slots, TimePoint now,
      TimePoint next_check);
  // Time after which the rejected caller is asked to return.
  Duration PromiseReturn(const OnlineCall& call, Duration backlog,
                         uint32_t slots, TimePoint now);

  // Commands: peers.
  void SetPeerReturns(const std::string& peer, const ReturnsByService& returns,
                      TimePoint now);
  void Expire(TimePoint now);

  // Queries.
  ReturnsByService Promised(TimePoint now);
  bool HasWaiting(const std::string& service) const;
  // In the order in which they are served.
  std::vector<ExchangeId> Waiting(const std::string& service) const;
  // Of these, the ones that go before a call that comes now.
  std::vector<ExchangeId> WaitingBefore(const OnlineCall& call,
                                        admission::Standing standing) const;
  std::vector<std::string> ServicesWithWaiting() const;
  size_t size() const;
  size_t promised() const;

 private:
  struct Service {
    std::string name;
    admission::FreeingRate rate;
    admission::WaitQueue queue;
    admission::ReturnSchedule returns;
  };

  Service& ServiceOf(const std::string& name);
  const Service* FindService(const std::string& name) const;
  admission::WaitRequest RequestOf(const OnlineCall& call,
                                   admission::Standing standing) const;
  // Later, the request is of no use to its caller.
  TimePoint StartBy(const OnlineCall& call) const;

  observe::Metrics& metrics_;
  uint64_t seed_;
  std::unordered_map<uint64_t, Service> services_;  // by hash of the name
  std::unordered_map<std::string, admission::TypicalTime>
      response_times_;  // by route
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_WAITING_CALLS_H_
