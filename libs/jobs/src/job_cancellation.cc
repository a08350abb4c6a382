#include "jobs/job_cancellation.h"

#include <algorithm>
#include <utility>

#include "jobs/job_record.h"
#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;
using platform::StoreOutcome;

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);

}  // namespace

JobCancellation::JobCancellation(JobId id, TimePoint deadline, uint64_t seed,
                                 std::string workspace)
    : id_(std::move(id)),
      workspace_(std::move(workspace)),
      deadline_(deadline),
      backoff_(seed) {}

void JobCancellation::Start(TimePoint now) {
  writing_ = false;
  retry_at_ = kNever;
  token_ =
      calls_.Add(platform::ReadRequest{std::string(kJobKind), JobName(id_)},
                 now + kCallTimeout);
}

void JobCancellation::Tick(TimePoint now) {
  if (finished()) return;
  if (now >= deadline_) {
    outcome_ = in_doubt_ || (writing_ && token_ != 0)
                   ? CancelOutcome::kUnknown
                   : CancelOutcome::kUnavailable;
    return;
  }
  if (token_ == 0 && now >= retry_at_) Start(now);
}

TimePoint JobCancellation::next_wakeup() const {
  return finished() ? kNever : std::min(retry_at_, deadline_);
}

void JobCancellation::OnAnswer(const StoreAnswer& answer, TimePoint now) {
  if (finished() || answer.token != token_) return;
  token_ = 0;
  if (writing_) return OnWritten(answer, now);
  OnRead(answer, now);
}

void JobCancellation::OnRead(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kNotFound) {
    outcome_ = CancelOutcome::kNotFound;
    return;
  }
  if (answer.outcome != StoreOutcome::kOk) {
    retry_at_ = backoff_.Next(now, answer.retry_after);
    return;
  }
  auto record = DecodeJobRecord(answer.objects.front().value);
  const bool visible =
      record && (workspace_.empty() || record->workspace == workspace_);
  if (!visible) {
    outcome_ = CancelOutcome::kNotFound;
  } else if (IsFinal(record->state)) {
    outcome_ = CancelOutcome::kAlreadyFinal;
  } else if (record->state == JobState::kCancelling) {
    outcome_ = CancelOutcome::kCancelling;
  } else {
    record->state = JobState::kCancelling;
    writing_ = true;
    token_ = calls_.Add(
        platform::WriteRequest{std::string(kJobKind), JobName(id_),
                               answer.objects.front().version, Encode(*record)},
        now + kCallTimeout);
  }
}

void JobCancellation::OnWritten(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kOk) {
    outcome_ = CancelOutcome::kCancelling;
    return;
  }
  if (answer.outcome == StoreOutcome::kUnknown) in_doubt_ = true;
  retry_at_ = backoff_.Next(now, answer.retry_after);
}

}  // namespace knapweedstile::jobs
