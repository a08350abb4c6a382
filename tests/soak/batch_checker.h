#ifndef KNAPWEEDSTILE_SOAK_BATCH_CHECKER_H_
#define KNAPWEEDSTILE_SOAK_BATCH_CHECKER_H_

#include <map>
#include <string>

#include "batch_record.h"
#include "fault_windows.h"
#include "findings.h"
#include "operations_log.h"
#include "run_index.h"

namespace knapweedstile::soak {

// Compares what callers of batch jobs received with what backend servers ran.
class BatchChecker {
 public:
  BatchChecker(const RunIndex& runs, const FaultWindows& fault_windows,
               const OperationsLog& operations, int events,
               std::chrono::milliseconds slack, Findings& findings);

  // Called at the end of a run, when each item of every accepted job must be
  // listed.
  void Check(const std::map<std::string, BatchRecord>& jobs);

 private:
  void CheckJob(const BatchRecord& job);
  void CheckResult(const BatchRecord& job, const ItemRecord& item,
                   const ReadResult& result);
  void CheckFailedResult(const BatchRecord& job, const ItemRecord& item,
                         TimePoint read_at);
  void CheckRuns(const BatchRecord& job, const ItemRecord& item);

  const RunIndex& runs_;
  const FaultWindows& fault_windows_;
  const OperationsLog& operations_;
  int events_;
  std::chrono::milliseconds slack_;
  Findings& findings_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_BATCH_CHECKER_H_
