#ifndef KNAPWEEDSTILE_NODE_ONLINE_CALLS_H_
#define KNAPWEEDSTILE_NODE_ONLINE_CALLS_H_

#include <string>
#include <unordered_map>

#include "base/id.h"
#include "base/time.h"
#include "caller_identity.h"
#include "completion_request.h"
#include "http/server_event.h"
#include "online_call.h"
#include "prepared_request.h"
#include "request_event.h"

namespace knapweedstile::observe {
class Metrics;
}

namespace knapweedstile::node {

struct EntryPorts;
class EntryFleet;
struct TrafficRoute;

// The completions that callers wait for: from the parsed request to the answer,
// whole or streamed. Every call gets exactly one final answer.
class OnlineCalls {
 public:
  OnlineCalls(EntryPorts& ports, observe::Metrics& metrics,
              const EntryFleet& fleet);

  // Commands.
  PreparedRequest Begin(RequestId id, const http::RequestEvent& request,
                        const CompletionRequest& completion,
                        const CallerIdentity& identity,
                        const TrafficRoute& route, TimePoint deadline);
  // True when the event belongs to a call here.
  bool OnEvent(TimePoint now, const RequestEvent& event);
  // The caller is gone. True when its request is to be cancelled.
  bool Forget(RequestId id) { return calls_.erase(id) != 0; }

  // Queries.
  size_t size() const noexcept { return calls_.size(); }

 private:
  void OnOutput(TimePoint now, OnlineCall& call,
                const RequestOutputEvent& event);
  void OnFinished(OnlineCall& call, const RequestFinishedEvent& event);
  void OnError(OnlineCall& call, const ApiError& error);
  void BeginStream(OnlineCall& call);

  EntryPorts& ports_;
  observe::Metrics& metrics_;
  const EntryFleet& fleet_;
  std::unordered_map<RequestId, OnlineCall> calls_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ONLINE_CALLS_H_
