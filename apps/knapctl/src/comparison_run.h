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

// Carries a comparison out: a baseline without batch, then the same traffic
// beside a batch job while the engines are relabelled between the two policies.
// The relabelling and the counting of batch items run on a thread of their own.
class ComparisonRun {
 public:
  ComparisonRun(const CommandLine& line, const ComparisonPlan& plan);

  // Blocks for the whole run.
  ExitCode Run();
  // Once Run is done.
  decide::PolicyComparison Compare() const;
  uint64_t wrong_answers() const noexcept { return wrong_answers_; }
  uint32_t relabels() const noexcept { return relabels_; }
  const JobView& job() const noexcept { return job_; }

 private:
  std::vector<load::CallOutcome> RunTraffic(const char* title, Duration length,
                                            TimePoint* started_at);
  // Thread: relabels at each change of side and samples the job's counts.
  void Drive(TimePoint start);
  bool Relabel(decide::PolicySide side);
  void CountBatch(TimePoint now);
  void KeepSamples(const std::vector<load::CallOutcome>& outcomes,
                   TimePoint started_at);

  const CommandLine& line_;
  ComparisonPlan plan_;
  ObjectStore store_;
  BatchApi batch_;
  JobView job_;
  std::vector<std::string> engines_;
  std::vector<decide::ComparisonSample> samples_;
  std::vector<decide::ComparisonSample> batch_samples_;  // Drive's thread
  std::vector<Duration> baseline_;
  TimePoint start_;
  uint64_t batch_done_ = 0;
  uint64_t wrong_answers_ = 0;
  uint32_t relabels_ = 0;
  std::atomic<bool> stop_{false};
  std::atomic<bool> failed_{false};
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_COMPARISON_RUN_H_
