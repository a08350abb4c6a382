#ifndef KNAPWEEDSTILE_DECIDE_GATE_H_
#define KNAPWEEDSTILE_DECIDE_GATE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "decide/gate_action.h"
#include "decide/load_report.h"
#include "decide/request_info.h"

namespace knapweedstile::decide {

struct GateSettings;
struct SharingPolicy;

// What a sidecar decides for its backend server: who runs, who waits, which
// batch stream makes room. Engines admit requests as they arrive and know no
// priorities, so this gate is the only place where online goes before batch.
// Events and time in, actions out (appended to `actions`); no network, clock,
// thread or log.
//
// Load pattern answered: online requests arrive in bursts beside endless batch.
// Without this gate they wait in the engine behind all batch that was sent
// before: p99 TTFT 132 times that without batch in gate_bench, against 1.03
// with it, batch keeping 98% of what a clairvoyant scheduler could use. The
// rules and their figures are in docs/design/sharing.md; each constant with its
// ground is in gate.cc.
//
// Every request given to OnArrival ends with exactly one of: OnEnded, OnCancel,
// a GateRefuseAction or a YieldAction.
class Gate {
 public:
  Gate(const GateSettings& settings, uint64_t seed);
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  // Commands.
  void OnArrival(TimePoint now, const RequestInfo& request,
                 std::vector<GateAction>& actions);
  // `tokens` more were produced for a running request. May bring NextWake
  // forward.
  void OnOutput(TimePoint now, RequestId request, uint32_t tokens);
  // The backend server finished, failed or crashed on a running request.
  void OnEnded(TimePoint now, RequestId request,
               std::vector<GateAction>& actions);
  // The entry no longer wants it (the shell cancels at the backend server).
  void OnCancel(TimePoint now, RequestId request,
                std::vector<GateAction>& actions);
  // A serving policy has come into force here.
  void OnPolicy(TimePoint now, const SharingPolicy& policy,
                std::vector<GateAction>& actions);
  // False while the backend server is down: nothing is started.
  void OnBackendServerHealth(TimePoint now, bool healthy,
                             std::vector<GateAction>& actions);
  // Graceful shutdown: refuses what comes, yields batch, lets online finish.
  void OnDrain(TimePoint now, std::vector<GateAction>& actions);
  void OnTick(TimePoint now, std::vector<GateAction>& actions);

  // Queries.
  TimePoint NextWake() const;
  LoadReport Load(TimePoint now) const;
  bool Idle() const;  // nothing runs or waits

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_GATE_H_
