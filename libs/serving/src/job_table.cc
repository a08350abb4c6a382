#include "serving/job_table.h"

#include <utility>

namespace knapweedstile::serving {
namespace {

// Notes that come while an entry reads its records after a start: those of some
// hundred running items. Beyond it items are begun anew.
constexpr size_t kMostEarlyNoteBytes = 4 << 20;

}  // namespace

void JobTable::AddJob(BatchJob&& job) {
  if (jobs_.contains(job.id)) return;
  const std::string id = job.id;
  job.progress.resize(job.items.size());
  for (uint32_t i = 0; i < job.items.size(); ++i) {
    job.item_index.emplace(job.items[i].id, i);
  }
  job.ended = pending_ends_.contains(id);
  BatchJob& added = jobs_.emplace(id, std::move(job)).first->second;
  MergePendingUpdates(id);
  auto early = pending_segments_.extract(id);
  if (early.empty()) return;
  for (auto& [number, results] : early.mapped()) {
    AddSegment(added.id, number, std::move(results));
  }
}

bool JobTable::AddSegment(const std::string& id, uint32_t number,
                          std::vector<ItemResult>&& results) {
  BatchJob* job = Find(id);
  if (!job || number > job->segments) {
    pending_segments_[id].emplace(number, std::move(results));
    return false;
  }
  if (number < job->segments) return true;
  AppendSegment(*job, std::move(results));
  const auto early = pending_segments_.find(id);
  if (early == pending_segments_.end()) return true;
  while (true) {
    auto next = early->second.extract(job->segments);
    if (next.empty()) break;
    AppendSegment(*job, std::move(next.mapped()));
  }
  if (early->second.empty()) pending_segments_.erase(early);
  return true;
}

void JobTable::AppendSegment(BatchJob& job, std::vector<ItemResult>&& results) {
  ++job.segments;
  for (ItemResult& result : results) {
    const auto index = job.item_index.find(result.item);
    if (index != job.item_index.end()) {
      ItemProgress& progress = job.progress[index->second];
      progress.phase = ItemPhase::kCommitted;
      progress.output.clear();
      progress.output.shrink_to_fit();
      uncommitted_states_[job.id].erase(index->second);
    }
    job.results.push_back(std::move(result));
  }
  if (job.complete()) uncommitted_states_.erase(job.id);
}

void JobTable::EndJob(const std::string& id) {
  pending_ends_[id] = true;
  if (BatchJob* job = Find(id)) job->ended = true;
}

void JobTable::RemoveJob(const std::string& id) {
  jobs_.erase(id);
  pending_segments_.erase(id);
  pending_ends_.erase(id);
  uncommitted_states_.erase(id);
}

void JobTable::SetRunning(const ItemRef& item) {
  BatchJob* job = Find(item.job);
  if (job) job->progress[item.index].phase = ItemPhase::kRunning;
}

void JobTable::SetWaiting(const ItemRef& item, TimePoint not_before) {
  BatchJob* job = Find(item.job);
  if (!job) return;
  ItemProgress& progress = job->progress[item.index];
  if (progress.phase == ItemPhase::kCommitted) return;
  progress.phase = ItemPhase::kWaiting;
  progress.not_before = not_before;
}

void JobTable::SetFinished(const ItemRef& item, ItemState state) {
  BatchJob* job = Find(item.job);
  if (!job) return;
  ItemProgress& progress = job->progress[item.index];
  if (progress.phase == ItemPhase::kCommitted) return;
  progress.phase = ItemPhase::kFinished;
  uncommitted_states_[item.job][item.index] = state;
}

std::vector<ProgressUpdate> JobTable::TakeProgressUpdates(uint64_t step,
                                                          size_t most_bytes) {
  std::vector<ProgressUpdate> notes;
  size_t bytes = 0;
  for (auto& [id, job] : jobs_) {
    if (!job.open()) continue;
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      ItemProgress& progress = job.progress[i];
      const bool unfinished = progress.phase == ItemPhase::kWaiting ||
                              progress.phase == ItemPhase::kRunning;
      const uint64_t come = progress.last_event.value_or(0);
      if (!unfinished || come < progress.published_event + step) continue;
      bytes += progress.output.size();
      if (!notes.empty() && bytes > most_bytes) return notes;
      progress.published_event = come;
      notes.push_back({.job = id,
                       .item = job.items[i].id,
                       .last_event = come,
                       .output = progress.output});
    }
  }
  return notes;
}

void JobTable::MergePendingUpdates(const std::string& id) {
  auto early = pending_updates_.extract(id);
  if (early.empty()) return;
  for (ProgressUpdate& note : early.mapped()) {
    pending_update_bytes_ -= note.output.size();
    MergeProgress(std::move(note));
  }
}

void JobTable::RepublishProgress(std::string_view creator) {
  for (auto& [id, job] : jobs_) {
    if (job.creator != creator) continue;
    for (ItemProgress& progress : job.progress) progress.published_event = 0;
  }
}

void JobTable::MergeProgress(ProgressUpdate&& note) {
  BatchJob* job = Find(note.job);
  if (!job) {
    if (pending_update_bytes_ >= kMostEarlyNoteBytes) return;
    pending_update_bytes_ += note.output.size();
    pending_updates_[note.job].push_back(std::move(note));
    return;
  }
  const auto index = job->item_index.find(note.item);
  if (index == job->item_index.end()) return;
  ItemProgress& progress = job->progress[index->second];
  const bool further = note.last_event > progress.last_event.value_or(0);
  if (progress.phase != ItemPhase::kWaiting || !further) return;
  progress.output = std::move(note.output);
  progress.last_event = note.last_event;
  // Not to be passed on: who told of it tells the next one as well.
  progress.published_event = note.last_event;
}

const BatchJob* JobTable::Find(std::string_view id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

BatchJob* JobTable::Find(std::string_view id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool JobTable::HasSegment(const std::string& id, uint32_t number) const {
  const BatchJob* job = Find(id);
  if (job && number < job->segments) return true;
  const auto early = pending_segments_.find(id);
  return early != pending_segments_.end() && early->second.contains(number);
}

uint64_t JobTable::WaitingTokens(const QuotaScope& scope) const {
  uint64_t tokens = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job.open() || job.route != scope.route) continue;
    if (job.workspace != scope.workspace) continue;
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      const ItemPhase phase = job.progress[i].phase;
      const bool done =
          phase == ItemPhase::kCommitted || phase == ItemPhase::kFinished;
      if (!done) tokens += job.items[i].tokens;
    }
  }
  return tokens;
}

std::optional<ItemRef> JobTable::NextItem(
    TimePoint now, TimePoint in_time,
    const std::function<bool(const BatchJob&)>& mine,
    const std::function<bool(const BatchItem&)>& free) const {
  const auto comes_before = [in_time](const BatchJob& a, const BatchJob& b) {
    const bool late_a = a.due_at < in_time;
    const bool late_b = b.due_at < in_time;
    return late_a != late_b ? late_b : a.due_at < b.due_at;
  };
  const BatchJob* best = nullptr;
  uint32_t best_index = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job.open() || (best && !comes_before(job, *best)) || !mine(job)) {
      continue;
    }
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      const ItemProgress& progress = job.progress[i];
      if (progress.phase != ItemPhase::kWaiting || progress.not_before > now ||
          !free(job.items[i])) {
        continue;
      }
      best = &job;
      best_index = i;
      break;
    }
  }
  if (!best) return std::nullopt;
  return ItemRef{best->id, best_index};
}

std::map<std::string, std::vector<uint32_t>> JobTable::Orphans() const {
  std::map<std::string, std::vector<uint32_t>> orphans;
  for (const auto& [id, segments] : pending_segments_) {
    if (jobs_.contains(id)) continue;
    for (const auto& [number, results] : segments) {
      orphans[id].push_back(number);
    }
  }
  for (const auto& [id, ended] : pending_ends_) {
    if (!jobs_.contains(id)) orphans.try_emplace(id);
  }
  return orphans;
}

std::vector<ItemResult> JobTable::UncommittedResults(
    const std::string& id) const {
  std::vector<ItemResult> results;
  const BatchJob* job = Find(id);
  const auto finished = uncommitted_states_.find(id);
  if (!job || finished == uncommitted_states_.end()) return results;
  for (const auto& [index, state] : finished->second) {
    ItemResult result{.item = job->items[index].id, .state = state};
    if (state == ItemState::kCompleted) {
      result.output = job->progress[index].output;
    }
    results.push_back(std::move(result));
  }
  return results;
}

}  // namespace knapweedstile::serving
