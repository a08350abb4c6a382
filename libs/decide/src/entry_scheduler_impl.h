#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_SCHEDULER_IMPL_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_SCHEDULER_IMPL_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission_bounds.h"
#include "base/rng.h"
#include "decide/entry_scheduler.h"
#include "decide/entry_settings.h"
#include "entry_pool.h"
#include "entry_request.h"
#include "quarantine.h"
#include "router_server.h"

namespace knapweedstile::decide {

// Joins the modules: it owns the unanswered requests, the attempts in flight,
// the servers and the pools, and turns events into actions.
class EntryScheduler::Impl {
 public:
  using Actions = std::vector<EntryAction>;

  Impl(const EntrySettings& settings, uint64_t seed);

  void OnArrival(TimePoint now, RequestInfo info, Actions& actions);
  void OnCancel(TimePoint now, RequestId id, Actions& actions);
  void OnFirstOutput(TimePoint now, AttemptId id, Actions& actions);
  void OnAttemptEnded(TimePoint now, AttemptId id, AttemptOutcome outcome,
                      TimePoint come_back_at, Actions& actions);
  void OnBackendServerUp(TimePoint now, BackendServerId id,
                         std::vector<std::string> targets,
                         std::string availability_zone, Actions& actions);
  void OnBackendServerLeaving(TimePoint now, BackendServerId id);
  void OnBackendServerDown(TimePoint now, BackendServerId id);
  void OnLoad(TimePoint now, BackendServerId id, const LoadReport& load,
              Actions& actions);
  void OnQuarantined(uint64_t fingerprint, TimePoint until);
  void OnTick(TimePoint now, Actions& actions);

  TimePoint NextWake() const;
  size_t BatchRoom(const std::string& target) const;
  std::vector<std::pair<uint64_t, TimePoint>> Quarantined() const;

 private:
  struct Attempt {
    RequestId request;
    RouterServer* server = nullptr;
    TimePoint started;
    bool first_output = false;
    bool cached = false;  // went to a server that had its prefix before
  };

  struct Wake {
    TimePoint at;
    RequestId request;
    friend bool operator<(const Wake& a, const Wake& b) {
      if (a.at != b.at) return a.at < b.at;
      return a.request.value() < b.request.value();
    }
  };

  // Admission. A reason when the request is refused at once.
  std::optional<RefusalReason> RefusesOnArrival(TimePoint now,
                                                const EntryPool& pool,
                                                const EntryRequest& request);
  void Enqueue(EntryRequest& request);
  void LeaveQueue(EntryRequest& request);

  // Dispatch.
  void Pump(TimePoint now, EntryPool& pool, Actions& actions);
  void RefuseWaiting(TimePoint now, EntryPool& pool, Actions& actions);
  void PumpAgain(TimePoint now, EntryPool& pool, Actions& actions);
  void PumpSuspects(TimePoint now, EntryPool& pool, Actions& actions);
  bool PumpIsolated(TimePoint now, EntryPool& pool, EntryRequest& request,
                    Actions& actions);
  void PumpQueue(TimePoint now, EntryPool& pool, TrafficClass traffic_class,
                 Actions& actions);
  // Whether a request of this flow may go and leave what it must.
  bool LeavesHeadroom(TimePoint now, const EntryPool& pool,
                      FairQueueKey key) const;
  void PumpAllOf(TimePoint now, const RouterServer& server, Actions& actions);
  void Dispatch(TimePoint now, EntryRequest& request, RouterServer& server,
                Actions& actions);
  void Hedge(TimePoint now, EntryRequest& request, Actions& actions);

  // Ends of attempts and requests.
  static void OnRefusedBy(RouterServer& server, const EntryRequest& request,
                          TimePoint come_back_at);
  void OnAnswered(TimePoint now, const Attempt& attempt, EntryRequest& request);
  static void NoteFirstOutput(TimePoint now, const Attempt& attempt,
                              EntryPool& pool);
  void OnNotAnswered(TimePoint now, AttemptOutcome outcome,
                     EntryRequest& request, Actions& actions);
  bool MaySendAgain(TimePoint now, AttemptOutcome outcome,
                    const EntryRequest& request);
  void SendAgain(TimePoint now, EntryRequest& request);
  Attempt RemoveAttempt(TimePoint now, AttemptId id);
  void CancelAttempts(TimePoint now, EntryRequest& request, AttemptId except,
                      Actions& actions);
  void Refuse(TimePoint now, EntryRequest& request, RefusalReason reason,
              Actions& actions);
  // Refuses when the request provably did not run, fails otherwise.
  void GiveUp(TimePoint now, EntryRequest& request, RefusalReason reason,
              AttemptOutcome outcome, Actions& actions);
  void Forget(EntryRequest& request);
  TimePoint ComeBackAt(TimePoint now, const EntryPool& pool);

  // Timers.
  void SetWake(EntryRequest& request, TimePoint wake);
  void OnWake(TimePoint now, EntryRequest& request, Actions& actions);
  // After this a dispatch cannot bring the first output in time.
  TimePoint LatestDispatch(const EntryRequest& request) const;

  void ReleaseServer(EntryPool& pool, RequestId request);
  void JoinPools(RouterServer& server);
  void LeavePools(RouterServer& server);
  void ForgetGoneServers();
  EntryPool& PoolFor(const std::string& target);

  const EntrySettings settings_;
  Rng rng_;
  AdmissionBounds bounds_;
  Quarantine quarantine_;
  std::unordered_map<RequestId, EntryRequest> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<BackendServerId, RouterServer> servers_;
  std::unordered_map<std::string, EntryPool> pools_;
  std::set<Wake> wakes_;
  uint64_t last_attempt_ = 0;
  TimePoint now_;  // of the latest event, for queries
  TimePoint poll_at_ = kNever;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_SCHEDULER_IMPL_H_
