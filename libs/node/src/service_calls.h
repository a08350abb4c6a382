#ifndef KNAPWEEDSTILE_NODE_SERVICE_CALLS_H_
#define KNAPWEEDSTILE_NODE_SERVICE_CALLS_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "base/id.h"
#include "base/time.h"
#include "caller_identity.h"
#include "claimed_calls.h"
#include "http/server_event.h"
#include "knapweedstile.pb.h"
#include "prepared_request.h"
#include "request_event.h"
#include "service_call.h"

namespace knapweedstile::objects {
struct Service;
}
namespace knapweedstile::observe {
class Metrics;
}

namespace knapweedstile::node {

struct ApiError;
struct EntryPorts;
struct TrafficRoute;
class PlatformCalls;
class RequestRunner;

// Calls of plain services: any method, body passed on, answer passed back.
//
// A call that may not be repeated and carries an Idempotency-Key runs at most
// once under that key, through whichever entries it is sent (ClaimedCalls). One
// without a key is sent at most once for each time that the caller sends it.
class ServiceCalls {
 public:
  // Told of each call that was answered without having been submitted.
  using OnUnsubmitted = std::function<void(RequestId)>;

  ServiceCalls(EntryPorts& ports, observe::Metrics& metrics,
               RequestRunner& runner, PlatformCalls& platform, uint64_t seed,
               OnUnsubmitted on_unsubmitted);

  // Commands.
  void Begin(TimePoint now, RequestId id, const http::RequestEvent& request,
             const objects::Service& service, const CallerIdentity& identity,
             const TrafficRoute& route);
  // True when the event belongs to a call here.
  bool OnEvent(TimePoint now, const RequestEvent& event);
  // The caller is gone. True when its request is to be cancelled; a claimed one
  // goes on, so that its outcome becomes known to a resend.
  bool Forget(RequestId id);
  void Tick(TimePoint now) { claims_.Tick(now); }

  // Queries.
  // Calls, and claims whose outcome is still being stored.
  size_t size() const noexcept { return calls_.size() + claims_.size(); }
  TimePoint NextWake() const { return claims_.NextWake(); }

 private:
  void OnVerdict(TimePoint now, RequestId id, jobs::ClaimVerdict verdict,
                 const jobs::ClaimAnswer& replay, PreparedRequest&& prepared);
  void OnFinished(TimePoint now, RequestId id, ServiceCall& call,
                  const pb::Finished& finished);
  void Replay(const ServiceCall& call, const jobs::ClaimAnswer& answer);
  void RespondError(const ServiceCall& call, const ApiError& error);

  EntryPorts& ports_;
  observe::Metrics& metrics_;
  RequestRunner& runner_;
  OnUnsubmitted on_unsubmitted_;
  std::string writer_prefix_;  // with the request's id: unique to a sending
  ClaimedCalls claims_;
  std::unordered_map<RequestId, ServiceCall> calls_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SERVICE_CALLS_H_
