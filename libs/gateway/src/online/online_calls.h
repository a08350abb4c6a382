#ifndef KNAPWEEDSTILE_GATEWAY_ONLINE_CALLS_H_
#define KNAPWEEDSTILE_GATEWAY_ONLINE_CALLS_H_

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/standing.h"
#include "admission/wait_verdict.h"
#include "base/rng.h"
#include "base/time.h"
#include "callers/caller_identity.h"
#include "http/client_event.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "online/online_call.h"
#include "online/origin_record.h"
#include "online/stream_registry.h"
#include "online/waiting_calls.h"
#include "servers/server_connections.h"
#include "serving/crash_tracker.h"
#include "serving/crashing_parts.h"
#include "serving/placement.h"
#include "serving/route.h"
#include "serving/server_filter.h"
#include "serving/slot_scheduler.h"
#include "serving/stream_origin.h"

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
    // The first event of a stream is about to be sent to its caller.
    std::function<void(const std::string& request_id,
                       const serving::StreamOrigin& origin)>
        stream_began;
    // Finds where the stream began whose first event that request brought.
    std::function<void(const std::string& request_id,
                       StreamRegistry::FindCallback done)>
        find_stream;
    // Finds the only origin that streams of the route can have.
    std::function<void(const std::string& route, OriginRecord::Callback done)>
        find_only_origin;
    // Standing of a workspace that asks for a slot of the service; empty: all
    // are within their share.
    std::function<admission::Standing(const std::string& service,
                                      const std::string& workspace)>
        standing;
  };

  OnlineCalls(ServerConnections& connections, serving::SlotScheduler& scheduler,
              serving::CrashTracker& crash_tracker,
              serving::CrashingParts& crashing_parts, observe::Metrics& metrics,
              observe::Timeline& timeline, uint64_t seed, Callbacks callbacks);

  // `less_urgent`: than other requests of its service.
  void Begin(http::RequestEvent&& request, const serving::Route& route,
             const CallerIdentity& caller, bool less_urgent);
  void OnCallerDisconnected(ExchangeId caller);
  // The process of the server was replaced. Requests on it are lost and may
  // have been executed.
  void OnServerRestarted(BackendServerId previous);
  // A peer has reported its usage of slots, or its promised returns.
  void OnPeerUsage();
  void OnPeerReturns(const std::string& peer, const ReturnsByService& returns);
  // Places waiting requests, and rejects those whose time ends before the next
  // call.
  void Run(TimePoint now, TimePoint next_run);

  // Answers all requests: those that were not sent to a server as not executed.
  // Streams that have begun are cut.
  void EndAll();

  size_t open() const noexcept { return calls_.size(); }
  size_t waiting() const { return waiting_.size(); }
  size_t promised_returns() const { return waiting_.promised(); }
  ReturnsByService PromisedReturns(TimePoint now) {
    return waiting_.Promised(now);
  }

 private:
  // Minimum time between two placements of waiting requests after reports of
  // peers, of which there are many.
  static constexpr std::chrono::milliseconds kServePause{5};

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

  // A service without servers is passed over while another has some.
  const std::string& ChooseService(const serving::Route& route);
  // Continues a stream whose caller has events of it, at the version that
  // produced them; rejects it if that is not known.
  void ResumeStream(OnlineCall& call);
  void ResumeAt(ExchangeId caller, const serving::StreamOrigin& origin);
  // Continues a stream that no gateway remembers if streams of its route can
  // have begun at one version only.
  void ResumeAtOnlyOrigin(ExchangeId caller);
  void RejectUnknownVersion(ExchangeId caller, Duration retry_after);
  static serving::ServerFilter FilterOf(const OnlineCall& call) {
    return {.excluded = call.excluded, .software = call.stream_software};
  }
  // Ends a call whose prompt has a part that crashes servers, unless it may be
  // sent to try the part; returns whether it did.
  bool RejectQuarantined(OnlineCall& call);
  // The call is sent although a part of its prompt is quarantined.
  void RecordTrial(const OnlineCall& call);
  // The attempt ended as if its server had crashed.
  void ObserveCrash(const OnlineCall& call);
  void Dispatch(OnlineCall& call);
  void SendToPlacement(OnlineCall& call, const serving::Placement& placement);
  void SendTo(OnlineCall& call, BackendServerId server);

  // Time that a request may spend in a server's queue is derived from this.
  static Duration QueueObjective(const OnlineCall& call);
  uint32_t SlotsOf(const std::string& service) const;
  admission::Standing StandingOf(const OnlineCall& call) const;
  // For requests that were not executed and for which there is no slot.
  void WaitOrReject(OnlineCall& call);
  void RejectSaturated(OnlineCall& call, admission::WaitVerdict verdict);
  // Places the waiting requests of the service for which there are slots, and
  // rejects those that will get none in time.
  void ServeWaiting(const std::string& service);
  // The first part of it, for some of the waiting requests, in their order.
  void PlaceWaiting(const std::vector<ExchangeId>& waiting);
  void ServeAllWaiting();
  void RejectHopeless(const std::string& service, TimePoint next_check);

  // Ends the attempt in the scheduler; the call has no server afterwards.
  void EndAttempt(OnlineCall& call);
  // After an attempt that was certainly not executed.
  void RetryNotExecuted(OnlineCall& call);
  bool CanRetryElsewhere(const OnlineCall& call) const;
  bool StartResponse(OnlineCall& call);
  bool ForwardEvents(OnlineCall& call);

  void Reject(OnlineCall& call, Duration retry_after, std::string_view cause);
  // Only for requests of which no attempt can be sent.
  void RefuseUnsendable(OnlineCall& call, std::string_view reason);
  void Fail(OnlineCall& call, unsigned status, std::string_view cause);
  void Finish(OnlineCall& call, unsigned status, std::string_view outcome);

  OnlineCall* FindUpstream(ExchangeId upstream);

  serving::SlotScheduler& scheduler_;
  serving::CrashTracker& crashes_;
  serving::CrashingParts& crashing_parts_;
  observe::Metrics& metrics_;
  observe::Timeline& timeline_;
  Rng rng_;
  WaitingCalls waiting_;
  bool serving_waiting_ = false;  // ServeWaiting() is running
  TimePoint served_at_{};         // after a report of a peer
  TimePoint next_run_{};
  Callbacks callbacks_;
  std::unordered_map<ExchangeId, OnlineCall> calls_;  // by caller
  std::unordered_map<ExchangeId, ExchangeId> upstreams_;
  ServerConnections& connections_;
  ServerConnections::EventSink
      sink_;  // receives the events of this object's requests
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ONLINE_CALLS_H_
