#include "decide/lease.h"

#include <algorithm>
#include <utility>

namespace knapweedstile::decide {
namespace {

// A holder renews after a third of the term, so that two attempts may fail.
constexpr int kRenewalsPerTerm = 3;
// After a failure the next attempt follows within a tenth of the term.
constexpr int kRetriesPerTerm = 10;
// Writes remembered to recognise their effect in a later read. A write that is
// older than these was sent so long ago that its validity is over.
constexpr size_t kSentKept = 16;
constexpr uint32_t kPermille = 1000;

}  // namespace

Lease::Lease(const LeaseSettings& settings, std::string holder)
    : settings_(settings), holder_(std::move(holder)) {}

void Lease::OnTick(TimePoint now, std::vector<LeaseAction>& actions) {
  if (holding_ && now >= valid_until_) Lose(actions);
  Step(now, actions);
}

void Lease::OnRead(TimePoint now, LeaseOutcome outcome, uint64_t version,
                   const LeaseRecord& record,
                   std::vector<LeaseAction>& actions) {
  pending_ = Pending::kNone;
  if (holding_ && now >= valid_until_) Lose(actions);
  if (outcome == LeaseOutcome::kDone || outcome == LeaseOutcome::kAbsent) {
    const bool there = outcome == LeaseOutcome::kDone;
    Observe(now, there ? version : 0, there ? record : LeaseRecord{});
    const SentWrite* write = FindSent(record_);
    if (there && write != nullptr) {
      Believe(now, *write, actions);
    } else if (holding_) {
      Lose(actions);
    }
  } else {
    next_step_ = now + settings_.term / kRetriesPerTerm;
  }
  Step(now, actions);
}

void Lease::OnWrite(TimePoint now, LeaseOutcome outcome, uint64_t version,
                    std::vector<LeaseAction>& actions) {
  pending_ = Pending::kNone;
  if (holding_ && now >= valid_until_) Lose(actions);
  if (outcome == LeaseOutcome::kDone) {
    const SentWrite write = sent_.back();
    Observe(now, version, write.record);
    Believe(now, write, actions);
  } else {
    // Unknown: it may have taken effect, or may still. The holder keeps its old
    // end, reads, and compares the record's writer with what it has sent.
    must_read_ = true;
    if (outcome != LeaseOutcome::kConflict) {
      next_step_ = now + settings_.term / kRetriesPerTerm;
    }
  }
  Step(now, actions);
}

void Lease::Release(TimePoint now, std::vector<LeaseAction>& actions) {
  releasing_ = true;
  if (holding_) Lose(actions);
  Step(now, actions);
}

TimePoint Lease::NextWake() const {
  TimePoint wake = holding_ ? valid_until_ : kNever;
  if (pending_ != Pending::kNone || retired_) return wake;
  if (holding_ && !must_read_) {
    return std::min(wake, std::max(next_step_, renew_at_));
  }
  return std::min(wake, next_step_);
}

void Lease::Step(TimePoint now, std::vector<LeaseAction>& actions) {
  if (pending_ != Pending::kNone || retired_ || now < next_step_) return;
  if (must_read_) return Read(actions);
  if (holding_) return StepAsHolder(now, actions);
  StepAsCandidate(now, actions);
}

void Lease::StepAsHolder(TimePoint now, std::vector<LeaseAction>& actions) {
  if (now < renew_at_) return;
  Write(now, fence_, /*released=*/false, actions);
}

void Lease::StepAsCandidate(TimePoint now, std::vector<LeaseAction>& actions) {
  if (releasing_) {
    const bool mine = version_ != 0 && record_.holder == holder_;
    retired_ = !mine || record_.released;
    if (!retired_) Write(now, record_.fence, /*released=*/true, actions);
    return;
  }
  if (MayTakeOver(now)) {
    Write(now, record_.fence + 1, /*released=*/false, actions);
    return;
  }
  next_step_ = std::min(TakeOverAt(), now + settings_.term / kRenewalsPerTerm);
  must_read_ = true;
}

void Lease::Read(std::vector<LeaseAction>& actions) {
  pending_ = Pending::kRead;
  actions.emplace_back(std::in_place_type<LeaseReadAction>);
}

void Lease::Write(TimePoint now, uint64_t fence, bool released,
                  std::vector<LeaseAction>& actions) {
  pending_ = Pending::kWrite;
  const LeaseRecord record{holder_, ++writes_, fence, released};
  if (sent_.size() == kSentKept) sent_.erase(sent_.begin());
  sent_.push_back({record, now});
  actions.push_back(LeaseWriteAction{version_, record});
}

void Lease::Observe(TimePoint now, uint64_t version,
                    const LeaseRecord& record) {
  must_read_ = false;
  next_step_ = now;
  if (observed_ && version == version_) return;
  observed_ = true;
  version_ = version;
  record_ = record;
  version_since_ = now;
}

// The object is this holder's write. Believing starts when the write was sent:
// a candidate cannot have seen it earlier.
void Lease::Believe(TimePoint now, const SentWrite& write,
                    std::vector<LeaseAction>& actions) {
  if (write.record.released || releasing_) return;
  const Duration drift =
      settings_.term * int64_t{settings_.drift_permille} / kPermille;
  const TimePoint from = settings_.count_from_sending ? write.sent_at : now;
  const TimePoint until = from + settings_.term - drift;
  if (until <= now) return;
  if (!holding_) {
    // A belief that has lapsed is not taken up again under the same fence: what
    // was started under it has been stopped.
    if (write.record.fence == fence_) return;
    fence_ = write.record.fence;
    actions.push_back(LeaseAcquiredAction{fence_});
  }
  holding_ = true;
  valid_until_ = until;
  renew_at_ = write.sent_at + settings_.term / kRenewalsPerTerm;
}

void Lease::Lose(std::vector<LeaseAction>& actions) {
  holding_ = false;
  must_read_ = true;
  actions.push_back(LeaseLostAction{fence_});
}

bool Lease::MayTakeOver(TimePoint now) const {
  if (!settings_.wait_for_term) return true;
  return version_ == 0 || record_.released || record_.holder == holder_ ||
         now >= TakeOverAt();
}

TimePoint Lease::TakeOverAt() const { return version_since_ + settings_.term; }

const Lease::SentWrite* Lease::FindSent(const LeaseRecord& record) const {
  const auto found =
      std::find_if(sent_.begin(), sent_.end(),
                   [&](const auto& write) { return write.record == record; });
  return found == sent_.end() ? nullptr : &*found;
}

}  // namespace knapweedstile::decide
