#ifndef KNAPWEEDSTILE_SOAK_ONLINE_CHECKER_H_
#define KNAPWEEDSTILE_SOAK_ONLINE_CHECKER_H_

#include <string>
#include <vector>

#include "fault_windows.h"
#include "findings.h"
#include "online_request.h"
#include "operations_log.h"
#include "run_index.h"

namespace knapweedstile::soak {

// Compares what online callers received with what backend servers ran. Checks
// the product's promises only, independent of its implementation. `slack` is
// added to each time bound to allow for a busy test machine.
class OnlineChecker {
 public:
  OnlineChecker(const RunIndex& runs, const FaultWindows& fault_windows,
                const OperationsLog& operations, int events,
                std::chrono::milliseconds slack, Findings& findings);

  void Check(const std::vector<OnlineRequest>& requests);

 private:
  void CheckRuns(const OnlineRequest& request);
  void CheckResponse(const OnlineRequest& request);
  void CheckRejection(const OnlineRequest& request);
  void CheckDeadline(const OnlineRequest& request);
  void CheckCancellation(const OnlineRequest& request);
  void CheckPlannedStop(const OnlineRequest& request);
  void CheckRoute(const OnlineRequest& request);
  void CheckConfigurationOrder(const std::vector<OnlineRequest>& requests);
  void CheckDrain(const OnlineRequest& request);
  std::string CompleteBody(const OnlineRequest& request) const;
  bool RouteInEach(const std::string& route, bool present, TimePoint from,
                   TimePoint until) const;

  const RunIndex& runs_;
  const FaultWindows& fault_windows_;
  const OperationsLog& operations_;
  int events_;
  std::chrono::milliseconds slack_;
  Findings& findings_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_ONLINE_CHECKER_H_
