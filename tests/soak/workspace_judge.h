#ifndef KNAPWEEDSTILE_SOAK_WORKSPACE_JUDGE_H_
#define KNAPWEEDSTILE_SOAK_WORKSPACE_JUDGE_H_

#include <chrono>
#include <string>
#include <vector>

#include "disturbances.h"
#include "findings.h"
#include "online_request.h"
#include "operations_log.h"
#include "run_index.h"

namespace knapweedstile::soak {

// What must hold of keys and workspaces, from what callers and backend servers
// have seen.
class WorkspaceJudge {
 public:
  WorkspaceJudge(const RunIndex& runs, const Disturbances& disturbances,
                 const OperationsLog& operations,
                 std::chrono::milliseconds slack, Findings& findings)
      : runs_(runs),
        disturbances_(disturbances),
        operations_(operations),
        slack_(slack),
        findings_(findings) {}

  void Judge(const std::vector<OnlineRequest>& requests);

 private:
  void JudgeServers();
  void JudgeKey(const OnlineRequest& request);
  void JudgeRate(const std::vector<OnlineRequest>& requests);

  const RunIndex& runs_;
  const Disturbances& disturbances_;
  const OperationsLog& operations_;
  std::chrono::milliseconds slack_;
  Findings& findings_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_WORKSPACE_JUDGE_H_
