#include "jobs/shard_owner.h"

#include <algorithm>
#include <utility>

#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;

namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

ShardOwner::ShardOwner(const ShardOwnerSettings& settings, uint32_t shard,
                       std::string holder, uint64_t incarnation, uint64_t seed)
    : settings_(settings),
      shard_(shard),
      lease_(settings.lease, shard, std::move(holder), incarnation, seed),
      backoff_(seed + 1) {}

void ShardOwner::SetCandidate(bool candidate, TimePoint now) {
  if (candidate) releasing_ = false;
  lease_.SetCandidate(candidate, now);
}

void ShardOwner::Release(TimePoint now) {
  lease_.SetCandidate(false, now);
  releasing_ = held();
}

void ShardOwner::AbandonInFlight(TimePoint /*now*/) {
  for (const auto& [ticket, item] : in_flight_) stops_.push_back(ticket);
  in_flight_.clear();
}

void ShardOwner::PollSoon(TimePoint now) {
  if (!held()) return;
  poll_at_ = std::min(poll_at_, now);
  // A list that is under way may have been answered before the job was stored.
  poll_again_ = polling_;
}

void ShardOwner::Tick(TimePoint now) {
  lease_.Tick(now, calls_);
  HandleLeaseEvents(now);
  if (!held()) return;
  if (!polling_ && now >= poll_at_) PollJobs(now);
  if (MayCall(now)) {
    ReadRecords(now);
    LoadInputs(now);
    FinishJobs(now);
  }
  if (FlushDue(now)) StartFlush(now);
  if (flush_.step == FlushStep::kWaiting && now >= flush_.retry_at) {
    SendResults(now);
  }
  if (HeadWriteDue(now)) WriteHead(now);
}

void ShardOwner::OnAnswer(const StoreAnswer& answer, TimePoint now) {
  if (lease_.OnAnswer(answer, now, calls_)) return Tick(now);
  const auto it = pending_calls_.find(answer.token);
  // Answers to calls from before the lease was lost count for nothing.
  if (it == pending_calls_.end()) return;
  const PendingCall call = std::move(it->second);
  pending_calls_.erase(it);
  switch (call.kind) {
    case CallKind::kListJobs:
      OnJobsListed(answer, now);
      break;
    case CallKind::kReadJob:
      OnJobRead(call.job, answer, now);
      break;
    case CallKind::kReadInput:
      OnInputRead(call, answer, now);
      break;
    case CallKind::kWriteResults:
      OnResultsWritten(answer, now);
      break;
    case CallKind::kVerifyResults:
      OnResultsVerified(answer, now);
      break;
    case CallKind::kFinishJob:
      OnFinishWritten(call.job, answer, now);
      break;
    case CallKind::kReadFinished:
      OnFinishedRead(call.job, answer, now);
      break;
  }
  Tick(now);
}

std::vector<ItemTicket> ShardOwner::TakeStops() {
  return std::exchange(stops_, {});
}

size_t ShardOwner::uncommitted_bytes() const noexcept {
  return results_.bytes() + flush_.value.size();
}

size_t ShardOwner::held_input_bytes() const noexcept {
  size_t bytes = 0;
  for (const auto& [hash, job] : jobs_) bytes += job.held_bytes();
  return bytes;
}

TimePoint ShardOwner::next_wakeup(TimePoint now) const {
  TimePoint wakeup = lease_.next_wakeup();
  if (!held()) return wakeup;
  if (input_wanted_ && MayCall(now)) return now;
  if (FlushDue(now) || HeadWriteDue(now)) return now;
  if (!polling_) wakeup = std::min(wakeup, poll_at_);
  if (retry_jobs_at_ > now) wakeup = std::min(wakeup, retry_jobs_at_);
  wakeup = std::min(wakeup, waiting_.next_ready());
  if (flush_.step == FlushStep::kWaiting) {
    wakeup = std::min(wakeup, flush_.retry_at);
  }
  if (flush_.step == FlushStep::kNone && !results_.empty()) {
    wakeup = std::min(wakeup, results_.oldest() + FlushPeriod());
  }
  return std::max(wakeup, now);
}

void ShardOwner::HandleLeaseEvents(TimePoint now) {
  for (const LeaseEvent& event : lease_.TakeEvents()) {
    std::visit(
        Overloaded{
            [&](const LeaseAcquired& acquired) { Adopt(acquired.head, now); },
            [&](const LeaseCommitted&) { OnCommitted(); },
            [&](const LeaseLost&) { Forget(); },
        },
        event);
  }
}

void ShardOwner::Adopt(const ShardHead& head, TimePoint now) {
  ++stats_.acquired;
  next_sequence_ = head.next_sequence;
  listed_to_ = head.intake_revision;
  poll_at_ = now;
  retry_jobs_at_ = now;
  for (const auto& [hash, progress] : head.jobs) {
    OpenJob& job = jobs_.try_emplace(hash, progress).first->second;
    job.admitted = true;
    job.settled = progress.Settled();
  }
}

// A head counts as committed only here, so what follows from it (that a job may
// be finished) is decided here as well.
void ShardOwner::OnCommitted() {
  for (auto& [hash, job] : jobs_) {
    if (job.admitted && job.progress.Settled()) job.settled = true;
  }
  if (flush_.step == FlushStep::kCommitting) {
    ++stats_.flushes;
    stats_.committed += flush_.results.size();
    for (const ItemResult& result : flush_.results) {
      if (result.failed) ++stats_.failed_items;
    }
    flush_ = {};
  }
  AdmitJobs();
}

// The next owner goes on from the head; whatever it does not name never was.
void ShardOwner::Forget() {
  ++stats_.lost;
  stats_.discarded_at_loss += results_.size() + flush_.results.size();
  for (const auto& [ticket, item] : in_flight_) stops_.push_back(ticket);
  in_flight_.clear();
  ended_.clear();
  waiting_.Clear();
  results_.Clear();
  flush_ = {};
  jobs_.clear();
  finished_.clear();
  handed_out_by_workspace_.clear();
  pending_calls_.clear();
  polling_ = false;
  poll_again_ = false;
  closing_ = false;
  releasing_ = false;
}

void ShardOwner::StopItemsOf(const std::string& hash) {
  waiting_.RemoveJob(hash);
  for (auto it = in_flight_.begin(); it != in_flight_.end();) {
    if (it->second.job != hash) {
      ++it;
      continue;
    }
    stops_.push_back(it->first);
    it = in_flight_.erase(it);
  }
}

void ShardOwner::Add(platform::StoreCall call, PendingCall pending,
                     TimePoint now) {
  const uint64_t token =
      calls_.Add(std::move(call), now + settings_.call_timeout);
  pending_calls_[token] = std::move(pending);
}

platform::ReadRequest ShardOwner::ReadOf(const std::string& hash) const {
  return {std::string(kJobKind), JobName({shard_, hash})};
}

bool ShardOwner::MayCall(TimePoint now) const { return now >= retry_jobs_at_; }

uint32_t ShardOwner::CallsInFlight(CallKind kind) const {
  return static_cast<uint32_t>(std::count_if(
      pending_calls_.begin(), pending_calls_.end(),
      [&](const auto& call) { return call.second.kind == kind; }));
}

}  // namespace knapweedstile::jobs
