#include "jobs/claims.h"

#include <algorithm>
#include <utility>

#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;
using platform::StoreOutcome;

Claim::Claim(const ClaimSettings& settings, ClaimRequest request, uint64_t seed)
    : settings_(settings), deadline_(request.deadline), backoff_(seed) {
  record_.workspace = std::move(request.workspace);
  record_.key = std::move(request.key);
  record_.request_hash = std::move(request.request_hash);
  record_.writer = std::move(request.writer);
}

void Claim::Start(TimePoint now) { Write(0, now); }

void Claim::Tick(TimePoint now) {
  if (finished() || step_ == Step::kHeld) return;
  if (step_ == Step::kClaiming && now >= deadline_) {
    // Nothing was dispatched and nothing will be, so this is a true "not run".
    Give(ClaimVerdict::kNotRun);
    if (in_doubt_ || token_ != 0) Store(ClaimState::kReleased, now);
    return;
  }
  if (now >= give_up_at_) {
    step_ = Step::kFinished;
    return;
  }
  if (token_ != 0 || now < retry_at_) return;
  if (read_next_) return Read(now);
  Write(if_version_, now);
}

TimePoint Claim::next_wakeup() const {
  if (finished() || step_ == Step::kHeld) return kNever;
  const TimePoint end = step_ == Step::kClaiming ? deadline_ : give_up_at_;
  return token_ != 0 ? end : std::min(end, retry_at_);
}

void Claim::OnAnswer(const StoreAnswer& answer, TimePoint now) {
  if (finished() || token_ == 0 || answer.token != token_) return;
  token_ = 0;
  if (reading_) return OnRead(answer, now);
  OnWritten(answer, now);
}

void Claim::OnAnswered(ClaimAnswer answer, TimePoint now) {
  if (answer.body.size() > settings_.max_body_bytes) {
    answer.body.clear();
    answer.body_kept = false;
  }
  record_.answer = std::move(answer);
  Store(ClaimState::kDone, now);
}

void Claim::OnNotRun(TimePoint now) { Store(ClaimState::kReleased, now); }

void Claim::OnOutcomeUnknown() { step_ = Step::kFinished; }

// Begins to write what became of the call. A write that is still in flight may
// take effect at any time, so the present record is read first unless this
// sending is known to hold it.
void Claim::Store(ClaimState state, TimePoint now) {
  const bool known = step_ == Step::kHeld;
  step_ = Step::kStoring;
  record_.state = state;
  give_up_at_ = now + settings_.store_for;
  in_doubt_ = false;
  if (known) return Write(if_version_, now);
  Read(now);
}

void Claim::Write(uint64_t if_version, TimePoint now) {
  if_version_ = if_version;
  reading_ = false;
  token_ = calls_.Add(
      platform::WriteRequest{std::string(kClaimKind),
                             ClaimName(record_.workspace, record_.key),
                             if_version, Encode(record_)},
      now + settings_.call_timeout);
}

void Claim::Read(TimePoint now) {
  reading_ = true;
  token_ = calls_.Add(
      platform::ReadRequest{std::string(kClaimKind),
                            ClaimName(record_.workspace, record_.key)},
      now + settings_.call_timeout);
}

void Claim::RetryLater(const StoreAnswer& answer, bool read, TimePoint now) {
  read_next_ = read;
  retry_at_ = backoff_.Next(now, answer.retry_after);
}

void Claim::OnWritten(const StoreAnswer& answer, TimePoint now) {
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      if (step_ == Step::kStoring) {
        step_ = Step::kFinished;
        return;
      }
      return Hold(answer.version);
    case StoreOutcome::kConflict:
      return Read(now);
    case StoreOutcome::kUnknown:
      in_doubt_ = true;
      return RetryLater(answer, true, now);
    default:
      RetryLater(answer, false, now);
  }
}

void Claim::OnRead(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kOk) {
    return OnFound(answer.objects.front(), now);
  }
  if (answer.outcome == StoreOutcome::kNotFound) return Write(0, now);
  RetryLater(answer, true, now);
}

void Claim::OnFound(const platform::StoredObject& object, TimePoint now) {
  auto found = DecodeClaimRecord(object.value);
  const bool own = found && found->writer == record_.writer;
  if (own || (!settings_.compare_writer && in_doubt_)) {
    return OnOwnFound(object.version, found->state, now);
  }
  if (step_ == Step::kStoring) {
    return OnOtherWhileStoring(object.version, found, now);
  }
  if (!found) return Give(ClaimVerdict::kOutcomeUnknown);
  found_ = std::move(*found);
  OnOtherFound(object.version, now);
}

void Claim::OnOwnFound(uint64_t version, ClaimState state, TimePoint now) {
  if (step_ == Step::kClaiming) return Hold(version);
  if (state == record_.state) {
    step_ = Step::kFinished;
    return;
  }
  Write(version, now);
}

// A record that another sending has released is released anew, so that this
// sending's own claim, should it still be on its way, comes too late. Any other
// record means that the key has passed on.
void Claim::OnOtherWhileStoring(uint64_t version,
                                const std::optional<ClaimRecord>& other,
                                TimePoint now) {
  const bool both_released = other && other->state == ClaimState::kReleased &&
                             record_.state == ClaimState::kReleased;
  if (both_released) return Write(version, now);
  step_ = Step::kFinished;
}

void Claim::OnOtherFound(uint64_t version, TimePoint now) {
  if (found_.request_hash != record_.request_hash) {
    return Give(ClaimVerdict::kKeyReused);
  }
  switch (found_.state) {
    case ClaimState::kDone:
      return Give(found_.answer.body_kept ? ClaimVerdict::kReplay
                                          : ClaimVerdict::kAnswerNotKept);
    case ClaimState::kReleased:
      return Write(version, now);
    case ClaimState::kRunning:
      if (!settings_.respect_other_claims) return Write(version, now);
      return Give(ClaimVerdict::kOutcomeUnknown);
  }
}

void Claim::Give(ClaimVerdict verdict) {
  verdict_ = verdict;
  step_ = Step::kFinished;
}

void Claim::Hold(uint64_t version) {
  if_version_ = version;
  in_doubt_ = false;
  step_ = Step::kHeld;
  verdict_ = ClaimVerdict::kDispatch;
  backoff_.Reset();
}

}  // namespace knapweedstile::jobs
