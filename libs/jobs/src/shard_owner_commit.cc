// ShardOwner: committing results and finishing jobs.

#include <algorithm>
#include <map>
#include <utility>

#include "jobs/result_segment.h"
#include "jobs/shard_owner.h"
#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;
using platform::StoreOutcome;

namespace {

// Final writes of job objects in flight.
constexpr uint32_t kParallelFinishes = 8;

}  // namespace

bool ShardOwner::FlushDue(TimePoint now) const {
  if (flush_.step != FlushStep::kNone || results_.empty()) return false;
  return results_.size() >= settings_.flush_items ||
         results_.bytes() >= settings_.flush_bytes || releasing_ || closing_ ||
         now >= results_.oldest() + FlushPeriod();
}

Duration ShardOwner::FlushPeriod() const {
  return settings_.flush_every *
         (1 + lease_.head_bytes() / settings_.flush_slows_per_bytes);
}

void ShardOwner::StartFlush(TimePoint now) {
  flush_.sequence = next_sequence_++;
  flush_.results =
      results_.TakeBatch(settings_.flush_items, settings_.flush_bytes, now);
  ResultLinesByJob lines;
  for (const ItemResult& result : flush_.results) {
    lines[result.job].push_back(result.line);
  }
  flush_.value = EncodeResultSegment(lines);
  SendResults(now);
}

void ShardOwner::SendResults(TimePoint now) {
  flush_.step = FlushStep::kWriting;
  Add(platform::WriteRequest{std::string(kResultKind),
                             ResultName(shard_, fence(), flush_.sequence), 0,
                             flush_.value},
      {CallKind::kWriteResults, "", {}}, now);
}

// Nothing refers to the segment yet, so after a lost answer it is simply sent
// again; the conflict that may follow is looked into.
void ShardOwner::OnResultsWritten(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome == StoreOutcome::kOk) {
    flush_.step = FlushStep::kStored;
    return;
  }
  if (answer.outcome == StoreOutcome::kConflict) {
    return Add(
        platform::ReadRequest{std::string(kResultKind),
                              ResultName(shard_, fence(), flush_.sequence)},
        {CallKind::kVerifyResults, "", {}}, now);
  }
  flush_.step = FlushStep::kWaiting;
  flush_.retry_at = backoff_.Next(now, answer.retry_after);
}

void ShardOwner::OnResultsVerified(const StoreAnswer& answer, TimePoint now) {
  if (answer.outcome != StoreOutcome::kOk) {
    flush_.step = FlushStep::kWaiting;
    flush_.retry_at = backoff_.Next(now, answer.retry_after);
    return;
  }
  if (answer.objects.front().value == flush_.value) {
    flush_.step = FlushStep::kStored;
    return;
  }
  // Another process wrote under this fence: the lease is not ours.
  lease_.Abandon(now);
  HandleLeaseEvents(now);
}

bool ShardOwner::HeadWriteDue(TimePoint now) const {
  if (!lease_.CanWrite()) return false;
  if (flush_.step == FlushStep::kStored) return true;
  if (closing_ && flush_.step == FlushStep::kNone && results_.empty()) {
    return true;
  }
  return lease_.RenewalDue(now) || ReleaseReady();
}

bool ShardOwner::ReleaseReady() const {
  return releasing_ && in_flight_.empty() && results_.empty() &&
         flush_.step == FlushStep::kNone;
}

void ShardOwner::WriteHead(TimePoint now) {
  if (flush_.step == FlushStep::kStored) ApplyFlush();
  CloseCancelled();
  if (ReleaseReady()) return lease_.Release(BuildHead(), now, calls_);
  lease_.Write(BuildHead(), now, calls_);
}

// From here on the items count as done in memory. When the write fails for
// good, the lease is lost and this memory with it.
void ShardOwner::ApplyFlush() {
  flush_.step = FlushStep::kCommitting;
  std::map<std::string, uint32_t> counts;
  for (const ItemResult& result : flush_.results) {
    const auto job = jobs_.find(result.job);
    if (job == jobs_.end()) continue;
    JobProgress& progress = job->second.progress;
    progress.done.Insert(result.index);
    progress.attempts.erase(result.index);
    if (result.failed) ++progress.failed;
    --job->second.uncommitted;
    ++counts[result.job];
  }
  for (const auto& [hash, count] : counts) {
    jobs_.at(hash).progress.results.push_back(
        {fence(), flush_.sequence, count});
  }
}

void ShardOwner::CloseCancelled() {
  if (!closing_) return;
  closing_ = false;
  for (auto& [hash, job] : jobs_) {
    if (!job.cancelling() || job.progress.closed) continue;
    if (job.uncommitted > 0) {
      closing_ = true;
    } else {
      job.progress.closed = settings_.close_before_finish;
    }
  }
}

ShardHead ShardOwner::BuildHead() const {
  ShardHead head;
  head.next_sequence = next_sequence_;
  head.intake_revision = IntakeRevision();
  for (const auto& [hash, job] : jobs_) {
    if (job.admitted) head.jobs[hash] = job.progress;
  }
  return head;
}

// A job that is not admitted has to be listed again by the next owner.
uint64_t ShardOwner::IntakeRevision() const {
  uint64_t revision = listed_to_;
  for (const auto& [hash, job] : jobs_) {
    if (!job.admitted) revision = std::min(revision, job.version() - 1);
  }
  return revision;
}

bool ShardOwner::CanFinish(const OpenJob& job) const {
  if (!job.has_record() || job.finishing) return false;
  if (job.settled) return true;
  return !settings_.close_before_finish && job.cancelling() &&
         job.uncommitted == 0;
}

void ShardOwner::FinishJobs(TimePoint now) {
  uint32_t in_flight = CallsInFlight(CallKind::kFinishJob) +
                       CallsInFlight(CallKind::kReadFinished);
  for (auto& [hash, job] : jobs_) {
    if (in_flight >= kParallelFinishes) return;
    if (!CanFinish(job)) continue;
    SendFinish(hash, job, now);
    ++in_flight;
  }
}

void ShardOwner::SendFinish(const std::string& hash, OpenJob& job,
                            TimePoint now) {
  job.finishing = true;
  JobRecord record = job.record();
  record.progress = job.progress;
  record.progress.attempts.clear();
  const bool all_done = record.progress.done.size() == record.total;
  record.state = all_done ? JobState::kCompleted : JobState::kCancelled;
  Add(platform::WriteRequest{std::string(kJobKind), JobName({shard_, hash}),
                             job.version(), Encode(record)},
      {CallKind::kFinishJob, hash, {}}, now);
}

// A settled job has one possible final object, whoever writes it, so reading
// back that it is final settles every doubt.
void ShardOwner::OnFinishWritten(const std::string& hash,
                                 const StoreAnswer& answer, TimePoint now) {
  const auto it = jobs_.find(hash);
  if (it == jobs_.end()) return;
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      return Finished(hash, answer.version);
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      return Add(ReadOf(hash), {CallKind::kReadFinished, hash, {}}, now);
    case StoreOutcome::kNotFound:
      return Drop(it);
    default:
      it->second.finishing = false;
      retry_jobs_at_ = backoff_.Next(now, answer.retry_after);
  }
}

void ShardOwner::OnFinishedRead(const std::string& hash,
                                const StoreAnswer& answer, TimePoint now) {
  const auto it = jobs_.find(hash);
  if (it == jobs_.end()) return;
  it->second.finishing = false;
  if (answer.outcome == StoreOutcome::kNotFound) return Drop(it);
  if (answer.outcome != StoreOutcome::kOk) {
    retry_jobs_at_ = backoff_.Next(now, answer.retry_after);
    return;
  }
  const platform::StoredObject& object = answer.objects.front();
  const auto record = DecodeJobRecord(object.value);
  if (!record) {
    ++stats_.unreadable;
    retry_jobs_at_ = backoff_.Next(now);
    return;
  }
  if (IsFinal(record->state)) return Finished(hash, object.version);
  it->second.SetState(record->state, object.version);
}

void ShardOwner::Finished(const std::string& hash, uint64_t version) {
  const auto it = jobs_.find(hash);
  if (it == jobs_.end()) return;
  ++stats_.finished_jobs;
  finished_[hash] = version;
  Drop(it);
  AdmitJobs();
}

}  // namespace knapweedstile::jobs
