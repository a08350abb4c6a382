#include "jobs/shard_lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "jobs/call_queue.h"
#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;
using platform::StoreOutcome;

ShardLease::ShardLease(const LeaseSettings& settings, uint32_t shard,
                       std::string holder, uint64_t incarnation, uint64_t seed)
    : settings_(settings),
      shard_(shard),
      name_(ShardName(shard)),
      backoff_(seed) {
  lease_.holder = std::move(holder);
  lease_.incarnation = incarnation;
}

void ShardLease::SetCandidate(bool candidate, TimePoint now) {
  if (candidate == candidate_) return;
  candidate_ = candidate;
  poll_at_ = now;
}

void ShardLease::Tick(TimePoint now, CallQueue& calls) {
  if (token_ != 0) return;
  if (write_) {
    if (now < write_->retry_at) return;
    write_->retry_at = kNever;
    if (write_->read_next) return SendReadBack(now, calls);
    return SendWrite(now, calls);
  }
  if (!held() && candidate_ && now >= poll_at_) Poll(now, calls);
}

bool ShardLease::OnAnswer(const StoreAnswer& answer, TimePoint now,
                          CallQueue& calls) {
  if (token_ == 0 || answer.token != token_) return false;
  token_ = 0;
  if (!write_) {
    OnPolled(answer, now, calls);
  } else if (write_->phase == Phase::kReadingBack) {
    OnReadBack(answer, now);
  } else {
    OnWritten(answer, now, calls);
  }
  return true;
}

void ShardLease::Write(ShardHead head, TimePoint now, CallQueue& calls) {
  Begin(std::move(head), version_, now, calls);
}

void ShardLease::Release(ShardHead head, TimePoint now, CallQueue& calls) {
  const std::string holder = std::exchange(lease_.holder, "");
  Begin(std::move(head), version_, now, calls);
  lease_.holder = holder;
  write_->releases = true;
}

std::vector<LeaseEvent> ShardLease::TakeEvents() {
  return std::exchange(events_, {});
}

bool ShardLease::Valid(TimePoint now) const noexcept {
  // Once a release has been sent it may have taken effect, whatever is wanted
  // since.
  if (!held() || (write_ && write_->releases)) return false;
  return now < valid_until_ || !settings_.stop_on_own_clock;
}

TimePoint ShardLease::next_wakeup() const noexcept {
  if (token_ != 0) return kNever;
  if (write_) return write_->retry_at;
  if (held()) return renew_at_;
  return candidate_ ? poll_at_ : kNever;
}

void ShardLease::Poll(TimePoint now, CallQueue& calls) {
  poll_at_ = backoff_.Jittered(now, settings_.poll_every);
  token_ = calls.Add(platform::ReadRequest{std::string(kShardKind), name_},
                     now + settings_.call_timeout);
}

void ShardLease::OnPolled(const StoreAnswer& answer, TimePoint now,
                          CallQueue& calls) {
  if (!candidate_) return;
  if (answer.outcome == StoreOutcome::kNotFound) {
    return TakeOver(ShardHead{}, 0, now, calls);
  }
  if (answer.outcome != StoreOutcome::kOk) return;
  backoff_.Reset();
  auto head = DecodeShardHead(answer.objects.front().value);
  // A head that cannot be read is never written over: it holds what was
  // committed. It is left to the operators.
  if (!head) return;
  const uint64_t version = answer.objects.front().version;
  Observe(version, head->lease, now);
  if (Free(head->lease, now)) TakeOver(std::move(*head), version, now, calls);
}

void ShardLease::Observe(uint64_t version, const LeaseRecord& lease,
                         TimePoint now) {
  if (seen_version_ != version) {
    seen_version_ = version;
    seen_since_ = now;
  }
  seen_holder_ = lease.holder;
  seen_fence_ = lease.fence;
}

// A released lease and one of this VM's own earlier process are free at once.
bool ShardLease::Free(const LeaseRecord& lease, TimePoint now) const {
  if (lease.holder.empty()) return true;
  if (lease.holder == lease_.holder) return true;
  return now >= seen_since_ + settings_.term;
}

void ShardLease::TakeOver(ShardHead head, uint64_t version, TimePoint now,
                          CallQueue& calls) {
  lease_.fence = head.lease.fence + 1;
  Begin(std::move(head), version, now, calls);
  write_->takes_over = true;
}

void ShardLease::Begin(ShardHead head, uint64_t if_version, TimePoint now,
                       CallQueue& calls) {
  lease_.writer =
      fmt::format("{}/{}/{}", lease_.holder, lease_.incarnation, ++writes_);
  head.lease = lease_;
  write_.emplace();
  write_->value = Encode(head);
  write_->head = std::move(head);
  write_->if_version = if_version;
  write_->first_sent = now;
  head_bytes_ = write_->value.size();
  SendWrite(now, calls);
}

void ShardLease::SendWrite(TimePoint now, CallQueue& calls) {
  write_->phase = Phase::kWriting;
  write_->last_sent = now;
  token_ = calls.Add(platform::WriteRequest{std::string(kShardKind), name_,
                                            write_->if_version, write_->value},
                     now + settings_.call_timeout);
}

void ShardLease::SendReadBack(TimePoint now, CallQueue& calls) {
  write_->phase = Phase::kReadingBack;
  token_ = calls.Add(platform::ReadRequest{std::string(kShardKind), name_},
                     now + settings_.call_timeout);
}

void ShardLease::RetryLater(const StoreAnswer& answer, bool read,
                            TimePoint now) {
  write_->phase = Phase::kWaiting;
  write_->read_next = read;
  write_->retry_at = backoff_.Next(now, answer.retry_after);
}

void ShardLease::OnWritten(const StoreAnswer& answer, TimePoint now,
                           CallQueue& calls) {
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      return Settle(answer.version, write_->last_sent);
    case StoreOutcome::kUnknown:
      write_->in_doubt = true;
      return RetryLater(answer, true, now);
    case StoreOutcome::kNotSent:
    case StoreOutcome::kThrottled:
      return RetryLater(answer, false, now);
    default:
      OnConflict(answer, now, calls);
  }
}

// Only a write that was in doubt can meet its own earlier effect.
void ShardLease::OnConflict(const StoreAnswer& answer, TimePoint now,
                            CallQueue& calls) {
  if (!settings_.conditional_writes &&
      answer.outcome == StoreOutcome::kConflict) {
    write_->if_version = answer.version;
    return SendWrite(now, calls);
  }
  if (write_->in_doubt && answer.outcome == StoreOutcome::kConflict) {
    return SendReadBack(now, calls);
  }
  Lose(now);
}

void ShardLease::OnReadBack(const StoreAnswer& answer, TimePoint now) {
  const bool found = answer.outcome == StoreOutcome::kOk;
  if (!found && answer.outcome != StoreOutcome::kNotFound) {
    return RetryLater(answer, true, now);
  }
  const uint64_t version = found ? answer.objects.front().version : 0;
  if (version == write_->if_version) return RetryLater(answer, false, now);
  const auto head =
      found ? DecodeShardHead(answer.objects.front().value) : std::nullopt;
  const bool own = head && head->lease.writer == write_->head.lease.writer;
  if (!own && settings_.compare_writer) return Lose(now);
  // Any of the sendings may be the one that took effect.
  Settle(version, write_->first_sent);
}

void ShardLease::Settle(uint64_t version, TimePoint counted_from) {
  backoff_.Reset();
  version_ = version;
  valid_until_ = counted_from + settings_.term - settings_.margin;
  renew_at_ = counted_from + settings_.renew_after;
  seen_holder_ = write_->head.lease.holder;
  seen_fence_ = write_->head.lease.fence;
  HeadWrite done = std::move(*write_);
  write_.reset();
  if (done.releases) return Lose(counted_from);
  if (!done.takes_over) {
    events_.emplace_back(LeaseCommitted{});
    return;
  }
  state_ = State::kHeld;
  events_.emplace_back(LeaseAcquired{std::move(done.head)});
}

void ShardLease::Lose(TimePoint now) {
  const bool held_it = held();
  state_ = State::kCandidate;
  write_.reset();
  // The answer to a call in flight would be taken for that of a later one.
  token_ = 0;
  seen_version_.reset();
  poll_at_ = backoff_.Jittered(now, settings_.poll_every);
  if (held_it) events_.emplace_back(LeaseLost{});
}

}  // namespace knapweedstile::jobs
