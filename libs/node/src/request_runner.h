#ifndef KNAPWEEDSTILE_NODE_REQUEST_RUNNER_H_
#define KNAPWEEDSTILE_NODE_REQUEST_RUNNER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "decide/entry_action.h"
#include "decide/entry_scheduler.h"
#include "decide/load_report.h"
#include "decide/request_info.h"
#include "request_event.h"
#include "wire/transport_command.h"
#include "wire/transport_event.h"

namespace knapweedstile::observe {
class Timeline;
}

namespace knapweedstile::node {

// Carries out what the EntryScheduler decides: keeps each request's message
// until it has ended, turns dispatches into streams and the streams' events
// into the scheduler's. A backend server's PeerId has the value of its
// BackendServerId.
class RequestRunner {
 public:
  using WireSink = std::function<void(wire::TransportCommand&&)>;

  RequestRunner(const decide::EntrySettings& settings, uint64_t seed,
                observe::Timeline& timeline, WireSink send);

  // Commands. `message` lacks only what changes with each attempt.
  void Submit(TimePoint now, decide::RequestInfo info, pb::RunRequest message);
  void Cancel(TimePoint now, RequestId request);
  void OnStreamEvent(TimePoint now, wire::StreamEvent&& event);
  void OnStreamClosed(TimePoint now, const wire::StreamClosedEvent& event);
  void OnBackendServerUp(TimePoint now, BackendServerId id,
                         std::vector<std::string> targets,
                         std::string availability_zone);
  void OnBackendServerLeaving(TimePoint now, BackendServerId id);
  void OnBackendServerDown(TimePoint now, BackendServerId id);
  void OnLoad(TimePoint now, BackendServerId id, const pb::Load& load);
  void OnQuarantined(TimePoint now, uint64_t fingerprint, TimePoint until);
  void OnTick(TimePoint now);
  // Takes what has happened since the last call.
  std::vector<RequestEvent> TakeEvents() { return std::exchange(events_, {}); }

  // Queries.
  TimePoint NextWake() const { return scheduler_.NextWake(); }
  size_t BatchRoom(const std::string& target) const {
    return scheduler_.BatchRoom(target);
  }
  std::vector<std::pair<uint64_t, TimePoint>> Quarantined() const {
    return scheduler_.Quarantined();
  }
  size_t open_requests() const noexcept { return requests_.size(); }

 private:
  struct Request {
    pb::RunRequest message;
    TimePoint deadline;
    TimePoint due;
    AttemptId winner;  // the attempt whose output is passed on
  };
  struct Attempt {
    RequestId request;
    BackendServerId backend_server;
  };

  void Perform(TimePoint now);
  void Dispatch(TimePoint now, const decide::DispatchAction& action);
  void CancelAttempt(AttemptId attempt);
  void Refuse(const decide::RefuseAction& action);
  void FailRequest(const decide::FailAction& action);
  void OnOutput(TimePoint now, AttemptId id, RequestId request,
                BackendServerId server, pb::Output&& output);
  void EndAttempt(TimePoint now, AttemptId id, decide::AttemptOutcome outcome,
                  TimePoint come_back_at = {});
  void OnFinished(TimePoint now, AttemptId id, pb::Finished&& finished);
  void Record(const char* name, RequestId request, AttemptId attempt,
              std::string detail);

  decide::EntryScheduler scheduler_;
  observe::Timeline& timeline_;
  WireSink send_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<RequestId, std::string> failure_messages_;
  std::vector<decide::EntryAction> actions_;
  std::vector<RequestEvent> events_;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_REQUEST_RUNNER_H_
