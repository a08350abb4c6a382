#ifndef KNAPWEEDSTILE_JOBS_JOB_READER_H_
#define KNAPWEEDSTILE_JOBS_JOB_READER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/backoff.h"
#include "jobs/call_queue.h"
#include "jobs/job_progress.h"
#include "jobs/job_read.h"
#include "jobs/job_record.h"
#include "platform/store_answer.h"

namespace knapweedstile::jobs {

// Reads the status of a job and a page of its results, from any process: all of
// it is in the platform's store. Without network, clock or thread.
//
// Pages are stable: the list of a job's result segments only grows, and moves
// unchanged from the shard's head into the job object when the job ends.
//
// Failure guarded against: the job ends between the read of its object (still
// running) and that of the head (no longer there); it would look as if nothing
// was done. The object is read once more when the head does not know the job.
class JobReader {
 public:
  JobReader(const JobReadRequest& request, uint64_t seed);

  void Start(TimePoint now) { ReadJob(now); }
  void Tick(TimePoint now);
  void OnAnswer(const platform::StoreAnswer& answer, TimePoint now);
  std::vector<platform::StoreRequest> TakeCalls() { return calls_.Take(); }

  bool finished() const noexcept { return result_.has_value(); }
  // Once finished.
  const JobReadResult& result() const { return *result_; }
  TimePoint next_wakeup() const;

 private:
  enum class Step { kJob, kHead, kJobAgain, kResults, kCancelledItems };

  // Lines `skip` to `skip + take` of one job in a result segment.
  struct ResultSlice {
    std::string name;
    uint32_t skip = 0;
    uint32_t take = 0;
  };

  void ReadJob(TimePoint now);
  void Read(std::string_view kind, std::string name, TimePoint now);
  void OnJob(const platform::StoreAnswer& answer, TimePoint now);
  void OnHead(const platform::StoreAnswer& answer, TimePoint now);
  void OnResults(const platform::StoreAnswer& answer, TimePoint now);
  void OnInput(const platform::StoreAnswer& answer, TimePoint now);
  void ProgressKnown(JobProgress progress, TimePoint now);
  void FillStatus();
  void PlanResults();
  void PlanCancelledItems();
  void NextResults(TimePoint now);
  void NextCancelledItems(TimePoint now);
  void Finish(JobReadOutcome outcome);
  uint64_t LinesLeft() const;
  uint64_t CommittedLines() const;

  JobReadRequest request_;
  CallQueue calls_;
  Backoff backoff_;
  Step step_ = Step::kJob;
  uint64_t token_ = 0;
  std::string kind_;  // of the read in flight, or to be repeated
  std::string name_;
  TimePoint retry_at_ = kNever;
  JobRecord record_;
  JobProgress progress_;
  std::deque<ResultSlice> slices_;
  std::deque<uint32_t> cancelled_;  // indexes to report
  size_t bytes_ = 0;
  JobReadResult page_;
  std::optional<JobReadResult> result_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOB_READER_H_
