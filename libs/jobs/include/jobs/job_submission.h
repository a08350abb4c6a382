#ifndef KNAPWEEDSTILE_JOBS_JOB_SUBMISSION_H_
#define KNAPWEEDSTILE_JOBS_JOB_SUBMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs/backoff.h"
#include "jobs/call_queue.h"
#include "jobs/submission_settings.h"
#include "jobs/submit_request.h"
#include "jobs/submit_result.h"
#include "platform/store_answer.h"

namespace knapweedstile::jobs {

// One submission of a batch job, from the caller's body to a durable job.
// Without network, clock or thread: calls to the platform go out through
// TakeCalls(), answers and the time come in.
//
// Failures guarded against:
// - The entry dies at any point: input segments are written first, the job
//   object last and create-only, so a job exists whole or not at all; segments
//   of a submission that ended early are never referred to.
// - The caller resends, through any entry: the id follows from workspace and
//   key, and one create-only write of the job object wins. The body's hash in
//   it tells a resend from another body under the same key.
// - A large body stalls the thread that also serves online requests: it is
//   parsed a few hundred lines a turn.
// - The answer to the job object's write is lost: the object is read back
//   before anything is said; the caller is told kUnknown, never "not run", when
//   the deadline comes first.
class JobSubmission {
 public:
  JobSubmission(const SubmissionSettings& settings, SubmitRequest request,
                uint64_t seed);

  void Start(TimePoint now);
  // Call at next_wakeup() at the latest.
  void Tick(TimePoint now);
  void OnAnswer(const platform::StoreAnswer& answer, TimePoint now);
  std::vector<platform::StoreRequest> TakeCalls() { return calls_.Take(); }

  const JobId& id() const noexcept { return id_; }
  bool finished() const noexcept { return result_.has_value(); }
  // Once finished.
  const SubmitResult& result() const { return *result_; }
  // In the past when there is more to do at once.
  TimePoint next_wakeup() const;

 private:
  enum class Step { kScan, kLookUp, kWriteInputs, kWriteJob, kReadBack };

  struct SegmentWrite {
    InputSegmentRef ref;
    std::string value;
    uint64_t token = 0;  // zero: to be sent at `send_at`
    TimePoint send_at;
  };

  void Scan(TimePoint now);
  void OnScanned(TimePoint now);
  void SendRead(TimePoint now);
  void SendJob(TimePoint now);
  void FillWindow(TimePoint now);
  void SendSegment(SegmentWrite& segment, TimePoint now);
  void PackSome();
  void PackLine(std::string_view raw);
  void CloseSegment();
  bool AllPacked() const noexcept;
  void OnSegmentAnswer(const platform::StoreAnswer& answer, TimePoint now);
  void OnLookUpAnswer(const platform::StoreAnswer& answer, TimePoint now);
  void OnJobAnswer(const platform::StoreAnswer& answer, TimePoint now);
  void OnReadBackAnswer(const platform::StoreAnswer& answer, TimePoint now);
  void FinishWithExisting(const platform::StoredObject& object);
  void Finish(SubmitOutcome outcome, std::string message);
  void RetryAt(TimePoint when) { retry_at_ = when; }

  SubmissionSettings settings_;
  SubmitRequest request_;
  JobId id_;
  JobRecord record_;
  CallQueue calls_;
  Backoff backoff_;
  Step step_ = Step::kScan;
  uint64_t token_ = 0;  // of the read or of the job's write in flight
  TimePoint retry_at_ = kNever;
  size_t scanned_to_ = 0;  // offset in the body
  uint64_t items_ = 0;     // counted so far
  std::string block_hashes_;
  size_t packed_to_ = 0;    // offset in the body
  SegmentWrite building_;   // the segment being packed
  bool in_doubt_ = false;   // a write of the job object may have taken effect
  bool own_write_ = false;  // one was sent at all
  std::vector<SegmentWrite> window_;
  std::optional<SubmitResult> result_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOB_SUBMISSION_H_
