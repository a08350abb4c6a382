#ifndef KNAPWEEDSTILE_JOBS_CLAIMS_H_
#define KNAPWEEDSTILE_JOBS_CLAIMS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "jobs/backoff.h"
#include "jobs/call_queue.h"
#include "jobs/claim_answer.h"
#include "jobs/claim_record.h"
#include "jobs/claim_request.h"
#include "jobs/claim_settings.h"
#include "jobs/claim_verdict.h"
#include "platform/store_answer.h"

namespace knapweedstile::jobs {

// The claim of one sending of a call that must run at most once, over all
// entries. Without network, clock or thread.
//
// The claim is created conditionally before anything is dispatched, so of any
// number of sendings under one key, through any entries, one is told to
// dispatch. It is given back only by that one, and only when the call provably
// did not run.
//
// Failures guarded against:
// - The caller resends while the first sending runs, or after its entry or the
//   backend server died: the claim stands, and the resend is told that the
//   outcome is unknown.
// - The answer to the claim's write is lost: the record is read back, and its
//   writer token tells whether it is this sending's own. Without that, two
//   sendings would each take the one record for theirs.
// - The deadline passes while the write is in doubt: this sending is over, and
//   the record is released, or created as released, so that a write that
//   arrives late cannot block the key.
class Claim {
 public:
  Claim(const ClaimSettings& settings, ClaimRequest request, uint64_t seed);

  void Start(TimePoint now);
  void Tick(TimePoint now);
  void OnAnswer(const platform::StoreAnswer& answer, TimePoint now);
  std::vector<platform::StoreRequest> TakeCalls() { return calls_.Take(); }

  // After kDispatch, exactly one of these. The caller is answered at once; what
  // is stored serves resends.
  void OnAnswered(ClaimAnswer answer, TimePoint now);
  void OnNotRun(TimePoint now);
  void OnOutcomeUnknown();

  std::optional<ClaimVerdict> verdict() const noexcept { return verdict_; }
  // kReplay and kAnswerNotKept.
  const ClaimAnswer& replay() const noexcept { return found_.answer; }
  // Nothing more is to be written; until then the claim has to be kept.
  bool finished() const noexcept { return step_ == Step::kFinished; }
  TimePoint next_wakeup() const;

 private:
  enum class Step {
    kClaiming,  // towards a verdict
    kHeld,      // dispatched; nothing to write yet
    kStoring,   // writing what became of it: done or released
    kFinished,
  };

  void Write(uint64_t if_version, TimePoint now);
  void Read(TimePoint now);
  void RetryLater(const platform::StoreAnswer& answer, bool read,
                  TimePoint now);
  void OnWritten(const platform::StoreAnswer& answer, TimePoint now);
  void OnRead(const platform::StoreAnswer& answer, TimePoint now);
  void OnFound(const platform::StoredObject& object, TimePoint now);
  void OnOwnFound(uint64_t version, ClaimState state, TimePoint now);
  void OnOtherWhileStoring(uint64_t version,
                           const std::optional<ClaimRecord>& other,
                           TimePoint now);
  void OnOtherFound(uint64_t version, TimePoint now);
  void Store(ClaimState state, TimePoint now);
  void Give(ClaimVerdict verdict);
  void Hold(uint64_t version);

  ClaimSettings settings_;
  TimePoint deadline_;
  ClaimRecord record_;  // of this sending
  ClaimRecord found_;   // of another one
  CallQueue calls_;
  Backoff backoff_;
  Step step_ = Step::kClaiming;
  uint64_t token_ = 0;
  bool reading_ = false;
  bool read_next_ = false;
  bool in_doubt_ = false;  // a write of this step may have taken effect
  uint64_t if_version_ = 0;
  TimePoint retry_at_ = kNever;
  TimePoint give_up_at_ = kNever;
  std::optional<ClaimVerdict> verdict_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_CLAIMS_H_
