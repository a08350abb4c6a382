#ifndef KNAPWEEDSTILE_SOAK_WORKSPACE_CHECKER_H_
#define KNAPWEEDSTILE_SOAK_WORKSPACE_CHECKER_H_

#include <chrono>
#include <string>
#include <vector>

#include "fault_windows.h"
#include "findings.h"
#include "online_request.h"
#include "operations_log.h"
#include "run_index.h"

namespace knapweedstile::soak {

// Checks the promises about keys and workspaces, based on what callers and
// backend servers received.
class WorkspaceChecker {
 public:
  WorkspaceChecker(const RunIndex& runs, const FaultWindows& fault_windows,
                   const OperationsLog& operations,
                   std::chrono::milliseconds slack, Findings& findings)
      : runs_(runs),
        fault_windows_(fault_windows),
        operations_(operations),
        slack_(slack),
        findings_(findings) {}

  void Check(const std::vector<OnlineRequest>& requests);

 private:
  void CheckForwardedHeaders();
  void CheckKey(const OnlineRequest& request);
  void CheckRate(const std::vector<OnlineRequest>& requests);

  const RunIndex& runs_;
  const FaultWindows& fault_windows_;
  const OperationsLog& operations_;
  std::chrono::milliseconds slack_;
  Findings& findings_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_WORKSPACE_CHECKER_H_
