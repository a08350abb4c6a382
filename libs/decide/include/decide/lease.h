#ifndef KNAPWEEDSTILE_DECIDE_LEASE_H_
#define KNAPWEEDSTILE_DECIDE_LEASE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/lease_action.h"
#include "decide/lease_record.h"
#include "decide/lease_settings.h"

namespace knapweedstile::decide {

// How a read or conditional write of the lease object ended.
enum class LeaseOutcome {
  kDone,      // read: the object is there; write: accepted
  kAbsent,    // read: there is no object
  kConflict,  // write: the version has moved on; it has not taken effect
  kNotTaken,  // the store has refused it, or it was never sent
  kUnknown,   // no answer: a write may have taken effect, or may still
};

// The state of one lease over a store with conditional updates. Events and time
// in, actions out; one read or write is outstanding at most, and the shell
// answers each exactly once (a timeout is kUnknown).
//
// Load pattern answered: holders die, pause, or lose answers of the store while
// others wait to take over. Without it, two processes believe that they are in
// charge at once, or nobody takes over.
//
// Why two holders never overlap: a candidate takes over only by a write that is
// conditional on a version which it has seen unchanged for the whole term on
// its own clock, counted from after it saw it. The holder believes for less
// than the term, counted on its own clock from before it sent the write which
// made that version. The first span ends after the second. A holder that slept
// past its end learns it from the clock (Held), not from a message; what it
// sent before carries a lower fence and is refused where fences are checked.
class Lease {
 public:
  // `holder` is unique to this run of this process.
  Lease(const LeaseSettings& settings, std::string holder);

  // Commands.
  void OnTick(TimePoint now, std::vector<LeaseAction>& actions);
  // `version` and `record` are meaningful for kDone only.
  void OnRead(TimePoint now, LeaseOutcome outcome, uint64_t version,
              const LeaseRecord& record, std::vector<LeaseAction>& actions);
  // `version` is that of the accepted write, meaningful for kDone only.
  void OnWrite(TimePoint now, LeaseOutcome outcome, uint64_t version,
               std::vector<LeaseAction>& actions);
  // Gives the lease up and does not ask for it again. Call after the last write
  // under it was answered.
  void Release(TimePoint now, std::vector<LeaseAction>& actions);

  // Queries.
  // Ask before each write under the lease, with the time read just before.
  bool Held(TimePoint now) const { return holding_ && now < valid_until_; }
  uint64_t fence() const { return fence_; }
  TimePoint valid_until() const { return valid_until_; }
  TimePoint NextWake() const;

 private:
  enum class Pending { kNone, kRead, kWrite };

  // A write of this holder that has, or may have, taken effect.
  struct SentWrite {
    LeaseRecord record;
    TimePoint sent_at;
  };

  void Step(TimePoint now, std::vector<LeaseAction>& actions);
  void StepAsHolder(TimePoint now, std::vector<LeaseAction>& actions);
  void StepAsCandidate(TimePoint now, std::vector<LeaseAction>& actions);
  void Read(std::vector<LeaseAction>& actions);
  void Write(TimePoint now, uint64_t fence, bool released,
             std::vector<LeaseAction>& actions);
  void Observe(TimePoint now, uint64_t version, const LeaseRecord& record);
  void Believe(TimePoint now, const SentWrite& write,
               std::vector<LeaseAction>& actions);
  void Lose(std::vector<LeaseAction>& actions);

  bool MayTakeOver(TimePoint now) const;
  TimePoint TakeOverAt() const;
  const SentWrite* FindSent(const LeaseRecord& record) const;

  const LeaseSettings settings_;
  const std::string holder_;

  Pending pending_ = Pending::kNone;
  TimePoint next_step_;  // no read or write is sent before
  uint64_t writes_ = 0;
  std::vector<SentWrite> sent_;  // the last ones, oldest first

  // The object as last seen.
  bool observed_ = false;
  uint64_t version_ = 0;
  LeaseRecord record_;
  TimePoint version_since_;  // seen first, on this clock

  bool holding_ = false;
  bool must_read_ = true;  // the object may have changed since it was seen
  bool releasing_ = false;
  bool retired_ = false;
  uint64_t fence_ = 0;
  TimePoint valid_until_;
  TimePoint renew_at_;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_LEASE_H_
