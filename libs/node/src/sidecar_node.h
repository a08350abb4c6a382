#ifndef KNAPWEEDSTILE_NODE_SIDECAR_NODE_H_
#define KNAPWEEDSTILE_NODE_SIDECAR_NODE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "decide/attempt_outcome.h"
#include "decide/gate.h"
#include "decide/gate_action.h"
#include "http/client_event.h"
#include "http/client_request.h"
#include "http/server_command.h"
#include "http/server_event.h"
#include "node/sidecar_node_settings.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "sidecar_config.h"
#include "sidecar_request.h"
#include "wire/transport_command.h"
#include "wire/transport_event.h"

namespace knapweedstile::node {

// Everything a sidecar does on its decision thread: takes request streams from
// entries, lets the Gate decide what runs, carries it out at the backend server
// and streams the output back. It is the only way to its backend server.
class SidecarNode {
 public:
  // Commands to the other duties' threads.
  struct Ports {
    std::function<void(wire::TransportCommand&&)> wire;
    std::function<void(http::ClientRequest&&)> backend_server;
    std::function<void(ExchangeId)> cancel_backend_server;
    std::function<void(http::ServerCommand&&)> admin;
  };

  SidecarNode(const SidecarNodeSettings& settings, uint64_t seed, TimePoint now,
              Ports ports);

  // Commands.
  void OnWire(TimePoint now, wire::TransportEvent&& event);
  void OnBackendServer(TimePoint now, http::ClientEvent&& event);
  void OnAdmin(TimePoint now, http::ServerEvent&& event);
  void OnTick(TimePoint now);
  void BeginDrain(TimePoint now);

  // Queries.
  TimePoint NextWake() const;
  bool Drained() const;

 private:
  void Take(TimePoint now, wire::StreamOpenedEvent&& event);
  void Drop(TimePoint now, StreamId stream);
  void Perform(TimePoint now);
  void Start(TimePoint now, RequestId id);
  void Park(RequestId id);
  void Yield(TimePoint now, RequestId id);
  void Refuse(TimePoint now, RequestId id, const decide::Refusal& refusal);
  void StopRun(SidecarRequest& request);

  void OnBody(TimePoint now, RequestId id, SidecarRequest& request,
              const std::string& data);
  void OnRunEnded(TimePoint now, RequestId id, http::EndEvent&& end);
  void Finish(TimePoint now, RequestId id);
  void Fail(TimePoint now, RequestId id, decide::AttemptOutcome outcome,
            std::string message);
  void SendOutput(SidecarRequest& request, std::string data, uint32_t tokens);
  void Last(TimePoint now, RequestId id, pb::RunEvent&& event);

  void Probe(TimePoint now);
  void OnProbe(TimePoint now, const http::EndEvent& end);
  void SetHealthy(TimePoint now, bool healthy);

  // Puts in force what the configuration brought.
  void FollowConfig(TimePoint now);
  void PublishHeartbeat(TimePoint now);
  pb::Load LoadNow(TimePoint now) const;
  void AnswerAdmin(TimePoint now, const http::RequestEvent& request);
  std::string StatusJson(TimePoint now) const;
  void Record(const char* name, const std::string& request,
              std::string detail = "");

  SidecarNodeSettings settings_;
  Ports ports_;
  uint64_t incarnation_;
  decide::Gate gate_;
  observe::Metrics metrics_;
  observe::Timeline timeline_;
  std::unordered_map<RequestId, SidecarRequest> requests_;
  std::unordered_map<StreamId, RequestId> streams_;
  std::unordered_map<ExchangeId, RequestId> runs_;
  // Runs that were lost without an answer: whether the backend server crashed
  // is known with the next probe.
  std::vector<RequestId> suspects_;
  std::vector<decide::GateAction> actions_;
  SidecarConfig config_;
  uint64_t last_id_ = 0;
  ExchangeId probe_;
  TimePoint next_probe_;
  TimePoint next_heartbeat_;
  bool healthy_ = false;
  bool draining_ = false;
  TimePoint drain_began_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SIDECAR_NODE_H_
