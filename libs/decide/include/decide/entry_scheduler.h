#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_SCHEDULER_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_SCHEDULER_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "decide/attempt_outcome.h"
#include "decide/entry_action.h"
#include "decide/load_report.h"
#include "decide/request_info.h"

namespace knapweedstile::decide {

struct EntrySettings;

// Everything an entry decides about requests: admission, queueing, routing,
// retries, hedges and quarantine, behind one narrow interface. Events and the
// time go in, actions come out in `actions` (appended, in order). No network,
// clock, thread or log.
//
// Every request given to OnArrival ends with exactly one of: Done or Yielded
// reported by OnAttemptEnded, a RefuseAction, a FailAction, or OnCancel.
class EntryScheduler {
 public:
  EntryScheduler(const EntrySettings& settings, uint64_t seed);
  ~EntryScheduler();
  EntryScheduler(const EntryScheduler&) = delete;
  EntryScheduler& operator=(const EntryScheduler&) = delete;

  // Commands: requests.
  void OnArrival(TimePoint now, RequestInfo request,
                 std::vector<EntryAction>& actions);
  // The caller has gone away, or the item's job was cancelled.
  void OnCancel(TimePoint now, RequestId request,
                std::vector<EntryAction>& actions);
  // The first output of an attempt has arrived: no hedge or retry after this.
  void OnFirstOutput(TimePoint now, AttemptId attempt,
                     std::vector<EntryAction>& actions);
  // `come_back_at` is meaningful for kRefused only.
  void OnAttemptEnded(TimePoint now, AttemptId attempt, AttemptOutcome outcome,
                      TimePoint come_back_at,
                      std::vector<EntryAction>& actions);

  // Commands: backend servers.
  // `targets` are the pools it serves: requests name one (RequestInfo::target).
  // Called again when the pools change (a relabelled engine): attempts in
  // flight go on, new ones follow the new pools.
  void OnBackendServerUp(TimePoint now, BackendServerId id,
                         std::vector<std::string> targets,
                         std::string availability_zone,
                         std::vector<EntryAction>& actions);
  // Leaving: no new work; attempts in flight go on.
  void OnBackendServerLeaving(TimePoint now, BackendServerId id);
  // Gone; its attempts are reported one by one through OnAttemptEnded.
  void OnBackendServerDown(TimePoint now, BackendServerId id);
  void OnLoad(TimePoint now, BackendServerId id, const LoadReport& load,
              std::vector<EntryAction>& actions);

  // Commands: quarantine, learned from other nodes.
  void OnQuarantined(TimePoint now, uint64_t fingerprint, TimePoint until);

  // Deadlines, hedges, waiting requests. Call at NextWake at the latest.
  void OnTick(TimePoint now, std::vector<EntryAction>& actions);

  // Queries.
  TimePoint NextWake() const;
  // Batch items that OnArrival would take up now without queueing them long.
  size_t BatchRoom(const std::string& target) const;
  // Fingerprints this node has quarantined itself, to be told to others.
  std::vector<std::pair<uint64_t, TimePoint>> Quarantined() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_SCHEDULER_H_
