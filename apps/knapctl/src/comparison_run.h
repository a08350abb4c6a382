#ifndef KNAPWEEDSTILE_KNAPCTL_COMPARISON_RUN_H_
#define KNAPWEEDSTILE_KNAPCTL_COMPARISON_RUN_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "batch_api.h"
#include "comparison_plan.h"
#include "decide/policy_comparison.h"
#include "exit_code.h"
#include "load/call_outcome.h"
#include "object_store.h"

namespace knapweedstile::ctl {

struct CommandLine;

// Runs a comparison: a baseline without batch, then the same traffic beside a
// batch job while the engines are relabelled between the two policies. A second
// thread relabels the engines and samples the job's progress.
class ComparisonRun {
 public:
  ComparisonRun(const CommandLine& line, const ComparisonPlan& plan);

  // Blocks until the comparison has finished. Prints errors.
  ExitCode Run();
  // Requires that Run has returned kOk.
  decide::PolicyComparison Compare() const;
  uint64_t invalid_responses() const noexcept { return invalid_responses_; }
  uint32_t relabels() const noexcept { return relabels_; }
  const JobStatus& job() const noexcept { return job_; }

 private:
  std::vector<load::CallOutcome> RunTraffic(const char* title, Duration length,
                                            TimePoint* started_at);
  // Body of the second thread: relabels the engines at each change of policy
  // and samples the job's progress until `stop_` is set.
  void SwitchPolicies(TimePoint start);
  bool RelabelEngines(decide::PolicySide side);
  void SampleBatchProgress(TimePoint now);
  void RecordOnlineSamples(const std::vector<load::CallOutcome>& outcomes,
                           TimePoint started_at);

  const CommandLine& line_;
  ComparisonPlan plan_;
  ObjectStore store_;
  BatchApi batch_api_;
  JobStatus job_;
  std::vector<std::string> engines_;
  std::vector<decide::ComparisonSample> samples_;
  std::vector<decide::ComparisonSample> batch_samples_;  // by the second thread
  std::vector<Duration> baseline_ttft_;
  TimePoint start_;
  uint64_t batch_items_done_ = 0;
  uint64_t invalid_responses_ = 0;
  uint32_t relabels_ = 0;
  std::atomic<bool> stop_{false};
  std::atomic<bool> relabel_failed_{false};
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMPARISON_RUN_H_
