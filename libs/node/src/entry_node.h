#ifndef KNAPWEEDSTILE_NODE_ENTRY_NODE_H_
#define KNAPWEEDSTILE_NODE_ENTRY_NODE_H_

#include <boost/json/array.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "api_error.h"
#include "base/id.h"
#include "base/time.h"
#include "batch_calls.h"
#include "batch_items.h"
#include "caller_identity.h"
#include "completion_request.h"
#include "entry_fleet.h"
#include "entry_ports.h"
#include "http/server_event.h"
#include "node/entry_node_settings.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "online_calls.h"
#include "platform/store_answer.h"
#include "platform_calls.h"
#include "request_runner.h"
#include "service_calls.h"
#include "shard_set.h"
#include "wire/transport_event.h"

namespace knapweedstile::node {

// Everything an entry does on its decision thread: reads callers' requests,
// gives them to the RequestRunner, follows the fleet and the platform, and
// answers callers and operators.
class EntryNode {
 public:
  EntryNode(const EntryNodeSettings& settings, uint64_t seed, TimePoint now,
            EntryPorts ports);

  // Commands.
  void OnCallers(TimePoint now, http::ServerEvent&& event);
  void OnAdmin(TimePoint now, http::ServerEvent&& event);
  void OnWire(TimePoint now, wire::TransportEvent&& event);
  void OnPlatform(TimePoint now, platform::StoreAnswer&& answer);
  void OnTick(TimePoint now);
  void BeginDrain(TimePoint now);

  // Queries.
  TimePoint NextWake() const;
  bool Drained(TimePoint now) const;
  size_t open_requests() const noexcept { return runner_.open_requests(); }

 private:
  void OnCallerRequest(TimePoint now, http::RequestEvent&& request);
  void OnCallerDisconnect(TimePoint now, ExchangeId exchange);
  void BeginCompletion(TimePoint now, const http::RequestEvent& request,
                       const CallerIdentity& identity, CompletionApi api);
  void BeginServiceCall(TimePoint now, const http::RequestEvent& request,
                        const CallerIdentity& identity);
  void ListModels(const http::RequestEvent& request);
  void RespondError(ExchangeId exchange, const CallerIdentity& identity,
                    const ApiError& error);
  CallerIdentity IdentityOf(const http::RequestEvent& request);
  TimePoint DeadlineOf(const http::RequestEvent& request) const;
  void PassOnEvents(TimePoint now);
  void FillBatch(TimePoint now);
  void EndExchange(RequestId id);

  void AnswerAdmin(TimePoint now, const http::RequestEvent& request);
  std::string MetricsText();
  std::string StatusJson() const;
  boost::json::array ShardsJson() const;

  EntryNodeSettings settings_;
  EntryPorts ports_;
  uint64_t incarnation_;
  observe::Metrics metrics_;
  observe::Timeline timeline_;
  PlatformCalls platform_;
  RequestRunner runner_;
  EntryFleet fleet_;
  OnlineCalls online_;
  ServiceCalls services_;
  ShardSet shards_;
  BatchItems batch_items_;
  BatchCalls batch_calls_;
  // Calls in progress, both ways.
  std::unordered_map<ExchangeId, RequestId> exchanges_;
  std::unordered_map<RequestId, ExchangeId> exchange_of_;
  uint64_t last_id_ = 0;
  bool draining_ = false;
  bool accepting_ = true;
  TimePoint drain_began_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ENTRY_NODE_H_
