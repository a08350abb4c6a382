// ShardOwner: which jobs there are, and their input.

#include <algorithm>
#include <utility>

#include "jobs/shard_owner.h"
#include "jobs/store_names.h"

namespace knapweedstile::jobs {

using platform::StoreAnswer;
using platform::StoreOutcome;

namespace {

// Job objects in one answer: their values may be tens of kilobytes.
constexpr uint32_t kListLimit = 100;
// Reads of job objects in flight after a takeover.
constexpr uint32_t kParallelReads = 8;
// What a segment that is being read may take.
constexpr size_t kSegmentEstimate = platform::kMaxValueBytes;

bool HasInput(const OpenJob& job) {
  return job.held_bytes() > 0 || (job.reading && job.has_record());
}

}  // namespace

void ShardOwner::PollJobs(TimePoint now) {
  polling_ = true;
  platform::ListRequest list;
  list.kind = std::string(kJobKind);
  list.prefix = ShardPrefix(shard_);
  list.after = listed_to_;
  list.limit = kListLimit;
  Add(std::move(list), {CallKind::kListJobs, "", {}}, now);
}

void ShardOwner::OnJobsListed(const StoreAnswer& answer, TimePoint now) {
  polling_ = false;
  if (answer.outcome != StoreOutcome::kOk) {
    poll_at_ = backoff_.Next(now, answer.retry_after);
    return;
  }
  backoff_.Reset();
  for (const platform::StoredObject& object : answer.objects) TakeIn(object);
  listed_to_ = std::max(listed_to_, answer.revision);
  std::erase_if(finished_, [&](const auto& finished) {
    return finished.second <= listed_to_;
  });
  const bool at_once = std::exchange(poll_again_, false) || answer.more;
  poll_at_ = at_once ? now : backoff_.Jittered(now, settings_.poll_jobs_every);
  AdmitJobs();
}

void ShardOwner::TakeIn(const platform::StoredObject& object) {
  const std::string hash = object.name.substr(ShardPrefix(shard_).size());
  const auto finished = finished_.find(hash);
  if (finished != finished_.end() && object.version <= finished->second) return;
  const auto known = jobs_.find(hash);
  if (object.deleted) {
    if (known != jobs_.end()) Drop(known);
    return;
  }
  auto record = DecodeJobRecord(object.value);
  if (!record) {
    ++stats_.unreadable;
    return;
  }
  if (known != jobs_.end()) {
    TakeInKnown(hash, known->second, std::move(*record), object.version);
  } else if (!IsFinal(record->state) && record->total > 0) {
    TakeInNew(hash, std::move(*record), object.version);
  }
}

// A job begins where the others of its workspace, and the workspace where the
// other workspaces are, so that a new one neither waits for nor overtakes all
// that the older ones have had.
void ShardOwner::TakeInNew(const std::string& hash, JobRecord record,
                           uint64_t version) {
  uint64_t least_of_jobs = UINT64_MAX;
  for (const auto& [other_hash, other] : jobs_) {
    if (other.record().workspace != record.workspace) continue;
    least_of_jobs = std::min(least_of_jobs, other.handed_out);
  }
  uint64_t least_of_workspaces = UINT64_MAX;
  for (const auto& [workspace, count] : handed_out_by_workspace_) {
    least_of_workspaces = std::min(least_of_workspaces, count);
  }
  handed_out_by_workspace_.try_emplace(
      record.workspace,
      handed_out_by_workspace_.empty() ? 0 : least_of_workspaces);
  JobProgress progress;
  progress.done = ItemSet(record.total);
  OpenJob& job = jobs_.try_emplace(hash, std::move(progress)).first->second;
  job.handed_out = least_of_jobs == UINT64_MAX ? 0 : least_of_jobs;
  job.SetRecord(std::move(record), version);
  if (job.cancelling()) Cancel(hash, job);
}

void ShardOwner::TakeInKnown(const std::string& hash, OpenJob& job,
                             JobRecord record, uint64_t version) {
  if (version <= job.version()) return;
  if (IsFinal(record.state)) return Finished(hash, version);
  if (job.has_record()) {
    job.SetState(record.state, version);
  } else {
    handed_out_by_workspace_.try_emplace(record.workspace, 0);
    job.SetRecord(std::move(record), version);
  }
  if (job.cancelling()) Cancel(hash, job);
}

// The jobs that a new owner finds in the head: their objects are older than its
// first list.
void ShardOwner::ReadRecords(TimePoint now) {
  uint32_t free = kParallelReads -
                  std::min(kParallelReads, CallsInFlight(CallKind::kReadJob));
  for (auto& [hash, job] : jobs_) {
    if (free == 0) return;
    if (job.has_record() || job.reading) continue;
    job.reading = true;
    Add(ReadOf(hash), {CallKind::kReadJob, hash, {}}, now);
    --free;
  }
}

void ShardOwner::OnJobRead(const std::string& hash, const StoreAnswer& answer,
                           TimePoint now) {
  const auto it = jobs_.find(hash);
  if (it == jobs_.end()) return;
  it->second.reading = false;
  if (answer.outcome == StoreOutcome::kNotFound) return Drop(it);
  if (answer.outcome != StoreOutcome::kOk) {
    retry_jobs_at_ = backoff_.Next(now, answer.retry_after);
    return;
  }
  auto record = DecodeJobRecord(answer.objects.front().value);
  if (!record) {
    // Left alone, for the operators: what is committed of it stays.
    ++stats_.unreadable;
    it->second.reading = true;
    return;
  }
  TakeInKnown(hash, it->second, std::move(*record),
              answer.objects.front().version);
}

void ShardOwner::AdmitJobs() {
  uint32_t admitted = 0;
  std::vector<OpenJob*> others;
  for (auto& [hash, job] : jobs_) {
    if (job.admitted) {
      ++admitted;
    } else {
      others.push_back(&job);
    }
  }
  std::stable_sort(others.begin(), others.end(),
                   [](const OpenJob* a, const OpenJob* b) {
                     return a->urgency() < b->urgency();
                   });
  for (OpenJob* job : others) {
    if (admitted >= settings_.max_admitted_jobs) return;
    if (lease_.head_bytes() >= settings_.max_head_bytes) return;
    job->admitted = true;
    ++admitted;
  }
}

// A cancelled job is admitted whatever the bound: only the head can close it.
void ShardOwner::Cancel(const std::string& hash, OpenJob& job) {
  job.admitted = true;
  job.DropSegment();
  StopItemsOf(hash);
  closing_ = true;
}

void ShardOwner::Drop(Jobs::iterator job) {
  StopItemsOf(job->first);
  const std::string workspace = job->second.record().workspace;
  jobs_.erase(job);
  const bool used =
      std::any_of(jobs_.begin(), jobs_.end(), [&](const auto& other) {
        return other.second.record().workspace == workspace;
      });
  if (!used) handed_out_by_workspace_.erase(workspace);
}

void ShardOwner::LoadInputs(TimePoint now) {
  input_wanted_ = false;
  for (;;) {
    const auto it = MostUrgentWithoutInput();
    if (it == jobs_.end()) return;
    if (!HasInputRoom() && !MakeRoomFor(it->second)) return;
    OpenJob& job = it->second;
    const InputSegmentRef segment = *job.WantedSegment();
    job.reading = true;
    Add(platform::ReadRequest{std::string(kInputKind),
                              InputName({shard_, it->first},
                                        job.record().body_hash, segment)},
        {CallKind::kReadInput, it->first, segment}, now);
  }
}

ShardOwner::Jobs::iterator ShardOwner::MostUrgentWithoutInput() {
  auto best = jobs_.end();
  for (auto it = jobs_.begin(); it != jobs_.end(); ++it) {
    const OpenJob& job = it->second;
    const bool open = job.admitted && job.has_record() && !job.settled &&
                      !job.progress.closed && !job.cancelling();
    if (!open || job.reading || !job.WantedSegment()) continue;
    if (best == jobs_.end() || MoreUrgent(job, best->second)) best = it;
  }
  return best;
}

bool ShardOwner::HasInputRoom() const {
  uint32_t active = 0;
  size_t bytes = 0;
  for (const auto& [hash, job] : jobs_) {
    if (!HasInput(job)) continue;
    ++active;
    bytes += job.reading ? kSegmentEstimate : job.held_bytes();
  }
  return active < settings_.max_active_jobs &&
         (active == 0 || bytes + kSegmentEstimate <= settings_.max_input_bytes);
}

// Failure guarded against: jobs that are due late hold all the input memory,
// and one that has to be done within minutes waits behind them.
bool ShardOwner::MakeRoomFor(const OpenJob& wanting) {
  OpenJob* least = nullptr;
  for (auto& [hash, job] : jobs_) {
    if (job.held_bytes() == 0) continue;
    if (job.urgency() <= wanting.urgency()) continue;
    if (least == nullptr || job.urgency() > least->urgency()) least = &job;
  }
  if (least == nullptr) return false;
  least->DropSegment();
  return HasInputRoom();
}

void ShardOwner::OnInputRead(const PendingCall& call, const StoreAnswer& answer,
                             TimePoint now) {
  const auto it = jobs_.find(call.job);
  if (it == jobs_.end()) return;
  OpenJob& job = it->second;
  job.reading = false;
  if (answer.outcome != StoreOutcome::kOk) {
    if (answer.outcome == StoreOutcome::kNotFound) ++stats_.unreadable;
    retry_jobs_at_ = backoff_.Next(now, answer.retry_after);
    return;
  }
  if (job.cancelling()) return;
  job.HoldSegment(call.segment, answer.objects.front().value);
}

}  // namespace knapweedstile::jobs
