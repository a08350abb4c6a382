#ifndef KNAPWEEDSTILE_JOBS_JOB_CANCELLATION_H_
#define KNAPWEEDSTILE_JOBS_JOB_CANCELLATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/backoff.h"
#include "jobs/call_queue.h"
#include "jobs/cancel_outcome.h"
#include "jobs/job_id.h"
#include "platform/store_answer.h"

namespace knapweedstile::jobs {

// Asks for a job to be cancelled, from any process: the job object's state
// becomes `cancelling`, and its owner does the rest. Repeating it is harmless,
// so a lost answer needs only another look at the object. Without network,
// clock or thread.
class JobCancellation {
 public:
  // A job of another workspace counts as not found; an empty one stands for
  // operators, who may cancel any.
  JobCancellation(JobId id, TimePoint deadline, uint64_t seed,
                  std::string workspace = "");

  void Start(TimePoint now);
  void Tick(TimePoint now);
  void OnAnswer(const platform::StoreAnswer& answer, TimePoint now);
  std::vector<platform::StoreRequest> TakeCalls() { return calls_.Take(); }

  bool finished() const noexcept { return outcome_.has_value(); }
  // Once finished.
  CancelOutcome outcome() const { return *outcome_; }
  TimePoint next_wakeup() const;

 private:
  void OnRead(const platform::StoreAnswer& answer, TimePoint now);
  void OnWritten(const platform::StoreAnswer& answer, TimePoint now);

  JobId id_;
  std::string workspace_;
  TimePoint deadline_;
  CallQueue calls_;
  Backoff backoff_;
  uint64_t token_ = 0;
  bool writing_ = false;
  bool in_doubt_ = false;
  TimePoint retry_at_ = kNever;
  std::optional<CancelOutcome> outcome_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOB_CANCELLATION_H_
