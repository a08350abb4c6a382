#ifndef KNAPWEEDSTILE_NODE_SERVICE_CALLS_H_
#define KNAPWEEDSTILE_NODE_SERVICE_CALLS_H_

#include <string>
#include <unordered_map>

#include "base/id.h"
#include "base/time.h"
#include "caller_identity.h"
#include "decide/request_info.h"
#include "http/server_event.h"
#include "knapweedstile.pb.h"
#include "request_event.h"
#include "service_call.h"

namespace knapweedstile::objects {
struct Service;
}
namespace knapweedstile::observe {
class Metrics;
}

namespace knapweedstile::node {

struct EntryPorts;
struct TrafficRoute;

// Calls of plain services: any method, body passed on, answer passed back.
class ServiceCalls {
 public:
  ServiceCalls(EntryPorts& ports, observe::Metrics& metrics);

  // What Submit of the runner needs.
  struct Prepared {
    decide::RequestInfo info;
    pb::RunRequest message;
  };

  // Commands. `claim` names the claim record of a keyed call that may not be
  // repeated; empty otherwise.
  Prepared Begin(RequestId id, const http::RequestEvent& request,
                 const objects::Service& service, bool idempotent,
                 const CallerIdentity& identity, const TrafficRoute& route,
                 TimePoint deadline);
  // True when the event belongs to a call here.
  bool OnEvent(TimePoint now, const RequestEvent& event);
  void Forget(RequestId id) { calls_.erase(id); }

  // Queries.
  size_t size() const noexcept { return calls_.size(); }

 private:
  void OnFinished(ServiceCall& call, const pb::Finished& finished);

  EntryPorts& ports_;
  observe::Metrics& metrics_;
  std::unordered_map<RequestId, ServiceCall> calls_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SERVICE_CALLS_H_
