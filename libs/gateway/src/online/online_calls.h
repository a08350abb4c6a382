#ifndef KNAPWEEDSTILE_GATEWAY_ONLINE_CALLS_H_
#define KNAPWEEDSTILE_GATEWAY_ONLINE_CALLS_H_

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/rng.h"
#include "base/time.h"
#include "callers/caller_identity.h"
#include "http/client_event.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "online/online_call.h"
#include "servers/server_connections.h"
#include "serving/crash_tracker.h"
#include "serving/placement.h"
#include "serving/retry_after_policy.h"
#include "serving/route.h"
#include "serving/slot_scheduler.h"

namespace knapweedstile::gateway {

// Sends online requests to backend servers and returns the responses to
// callers.
//
// Executes a request that is not retryable at most once: it is sent again only
// if it was certainly not executed, that is if no connection was established or
// the backend server reported it. After any other failure the caller gets 502
// or 504, which say nothing about whether the request was executed.
class OnlineCalls {
 public:
  struct Callbacks {
    std::function<void(http::ServerCommand&&)> to_caller;
    // Preempts one batch item on a backend server: an item of `peer`, or of
    // this gateway if `peer` is empty.
    std::function<void(BackendServerId server, const std::string& peer)>
        preempt;
    // A request that was admitted at that time was not executed and will not
    // be.
    std::function<void(const std::string& workspace, TimePoint admitted_at)>
        not_executed;
    // The usage counts of the slot scheduler have changed.
    std::function<void()> usage_changed;
    // Servers that the operators' policies exclude for requests of the route.
    std::function<std::vector<BackendServerId>(const serving::Route& route,
                                               const std::string& service,
                                               const std::string& workspace)>
        excluded_servers;
  };

  OnlineCalls(ServerConnections& connections, serving::SlotScheduler& scheduler,
              serving::CrashTracker& crash_tracker, observe::Metrics& metrics,
              observe::Timeline& timeline, uint64_t seed, Callbacks callbacks);

  // `less_urgent`: than other requests of its service.
  void Begin(http::RequestEvent&& request, const serving::Route& route,
             const CallerIdentity& caller, bool less_urgent);
  void OnCallerDisconnected(ExchangeId caller);
  // The process of the server was replaced. Requests on it are lost and may
  // have been executed.
  void OnServerRestarted(BackendServerId previous);
  size_t open() const noexcept { return calls_.size(); }

 private:
  void OnUpstream(http::ClientEvent&& event);
  void OnHead(OnlineCall& call, http::HeadEvent&& event);
  void OnBody(OnlineCall& call, http::BodyEvent&& event);
  void OnEnd(OnlineCall& call, http::EndEvent&& event);
  void OnComplete(OnlineCall& call);
  void OnAttemptBroken(OnlineCall& call, std::string_view reason);
  void ObserveEvents(OnlineCall& call, size_t count);
  // The attempt failed. A deadline is the server's failure only where it had
  // the time that the objective allows.
  void ObserveFailure(const OnlineCall& call, bool by_deadline);
  void ObserveResponse(const OnlineCall& call);

  void Dispatch(OnlineCall& call);
  void SendTo(OnlineCall& call, BackendServerId server);
  // Ends the attempt in the scheduler; the call has no server afterwards.
  void EndAttempt(OnlineCall& call);
  // After an attempt that was certainly not executed.
  void RetryNotExecuted(OnlineCall& call);
  bool CanRetryElsewhere(const OnlineCall& call) const;
  bool StartResponse(OnlineCall& call);
  bool ForwardEvents(OnlineCall& call);

  void Reject(OnlineCall& call, Duration retry_after, std::string_view cause);
  void Fail(OnlineCall& call, unsigned status, std::string_view cause);
  void Finish(OnlineCall& call, unsigned status, std::string_view outcome);

  OnlineCall* FindUpstream(ExchangeId upstream);

  serving::SlotScheduler& scheduler_;
  serving::CrashTracker& crashes_;
  observe::Metrics& metrics_;
  observe::Timeline& timeline_;
  Rng rng_;
  serving::RetryAfterPolicy retry_delay_;
  Callbacks callbacks_;
  std::unordered_map<ExchangeId, OnlineCall> calls_;  // by caller
  std::unordered_map<ExchangeId, ExchangeId> upstreams_;
  ServerConnections& connections_;
  ServerConnections::EventSink
      sink_;  // receives the events of this object's requests
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ONLINE_CALLS_H_
