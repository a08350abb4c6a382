#include "serving/job_table.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::serving {
namespace {

// Limit for updates that arrive while a gateway still reads its records after a
// start; enough for some hundred running items. Items beyond it are restarted
// from the beginning.
constexpr size_t kMaxPendingUpdateBytes = 4 << 20;

void Unpublish(ItemProgress& progress) {
  progress.published_event = 0;
  progress.published_bytes = 0;
}

uint64_t HashOfPrefix(std::string_view output, size_t size) {
  return Hash64(output.substr(0, size));
}

// Whether the update, which is not ahead of the progress, is of the same run.
bool Includes(const ItemProgress& progress, const ProgressUpdate& update) {
  if (update.after_event == 0)
    return progress.output.starts_with(update.output);
  if (update.last_event != progress.last_event ||
      !progress.output.ends_with(update.output)) {
    return false;
  }
  const size_t before = progress.output.size() - update.output.size();
  return update.after_hash == HashOfPrefix(progress.output, before);
}

bool HasOutputs(const std::vector<ItemResult>& results) {
  return std::all_of(results.begin(), results.end(),
                     [](const ItemResult& r) { return r.has_output; });
}

uint64_t BytesOf(const BatchItem& item) {
  // Its id is also a key, and it has a progress.
  uint64_t bytes = sizeof(BatchItem) + sizeof(ItemProgress) +
                   2 * (sizeof(std::string) + item.id.size()) +
                   item.target.size() + item.body.size();
  for (const auto& [name, value] : item.headers.fields()) {
    bytes += 2 * sizeof(std::string) + name.size() + value.size();
  }
  return bytes;
}

uint64_t BytesOf(const BatchJob& job) {
  uint64_t bytes = sizeof(BatchJob);
  for (const BatchItem& item : job.items) bytes += BytesOf(item);
  for (const ItemResult& result : job.results) {
    bytes += sizeof(ItemResult) + result.item.size() + result.output.size();
  }
  return bytes;
}

}  // namespace

void JobTable::UpdateBytes(BatchJob& job) {
  const uint64_t bytes = BytesOf(job);
  bytes_ += bytes - std::exchange(job.bytes, bytes);
}

void JobTable::AddJob(BatchJob&& job) {
  if (BatchJob* known = Find(job.id)) {
    return CompleteOutline(*known, std::move(job));
  }
  const std::string id = job.id;
  job.progress.resize(job.items.size());
  for (uint32_t i = 0; i < job.items.size(); ++i) {
    job.item_index.emplace(job.items[i].id, i);
  }
  job.ended = pending_ends_.contains(id);
  BatchJob& added = jobs_.emplace(id, std::move(job)).first->second;
  UpdateBytes(added);
  MergePendingUpdates(id);
  auto pending = pending_segments_.extract(id);
  if (pending.empty()) return;
  for (auto& [number, results] : pending.mapped()) {
    AddSegment(added.id, number, std::move(results));
  }
}

void JobTable::CompleteOutline(BatchJob& outline, BatchJob&& full) {
  if (outline.has_bodies || !full.has_bodies) return;
  if (full.items.size() != outline.items.size()) return;
  outline.items = std::move(full.items);
  outline.has_bodies = true;
  UpdateBytes(outline);
}

void JobTable::CompleteSegment(BatchJob& job, uint32_t number,
                               std::vector<ItemResult>&& results) {
  const auto outline = job.outline_segments.find(number);
  if (outline == job.outline_segments.end() || !HasOutputs(results)) return;
  const auto [first, end] = outline->second;
  if (results.size() != end - first) return;
  std::move(results.begin(), results.end(),
            job.results.begin() + static_cast<std::ptrdiff_t>(first));
  job.outline_segments.erase(outline);
  UpdateBytes(job);
}

bool JobTable::AddSegment(const std::string& id, uint32_t number,
                          std::vector<ItemResult>&& results) {
  BatchJob* job = Find(id);
  if (!job || number > job->segments) {
    auto& pending = pending_segments_[id];
    const bool replaces = HasOutputs(results) || !pending.contains(number);
    if (replaces) pending.insert_or_assign(number, std::move(results));
    return false;
  }
  if (number < job->segments) {
    CompleteSegment(*job, number, std::move(results));
    return true;
  }
  AppendSegment(*job, std::move(results));
  const auto pending = pending_segments_.find(id);
  if (pending == pending_segments_.end()) return true;
  while (true) {
    auto next = pending->second.extract(job->segments);
    if (next.empty()) break;
    AppendSegment(*job, std::move(next.mapped()));
  }
  if (pending->second.empty()) pending_segments_.erase(pending);
  return true;
}

void JobTable::AppendSegment(BatchJob& job, std::vector<ItemResult>&& results) {
  if (!HasOutputs(results)) {
    const size_t first = job.results.size();
    job.outline_segments[job.segments] = {first, first + results.size()};
  }
  ++job.segments;
  for (ItemResult& result : results) {
    const auto index = job.item_index.find(result.item);
    if (index != job.item_index.end()) {
      ItemProgress& progress = job.progress[index->second];
      progress.phase = ItemPhase::kCommitted;
      progress.output.clear();
      progress.output.shrink_to_fit();
      progress.published_bytes = 0;
      uncommitted_states_[job.id].erase(index->second);
    }
    job.results.push_back(std::move(result));
  }
  if (job.complete()) uncommitted_states_.erase(job.id);
  UpdateBytes(job);
}

void JobTable::EndJob(const std::string& id) {
  pending_ends_[id] = true;
  if (BatchJob* job = Find(id)) job->ended = true;
}

void JobTable::RemoveJob(const std::string& id) {
  if (const BatchJob* job = Find(id)) bytes_ -= job->bytes;
  jobs_.erase(id);
  pending_segments_.erase(id);
  pending_ends_.erase(id);
  uncommitted_states_.erase(id);
}

void JobTable::DropOutput(const std::string& id, uint32_t number,
                          size_t position) {
  BatchJob* job = Find(id);
  if (!job || number >= job->segments || position >= job->results.size()) {
    return;
  }
  ItemResult& result = job->results[position];
  if (!result.in_parts) return;
  result.has_output = false;
  result.output.clear();
  result.output.shrink_to_fit();
  job->outline_segments[number] = {position, position + 1};
  UpdateBytes(*job);
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
                                                          size_t max_bytes) {
  std::vector<ProgressUpdate> updates;
  size_t bytes = 0;
  for (auto& [id, job] : jobs_) {
    if (!job.open()) continue;
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      ItemProgress& progress = job.progress[i];
      const bool unfinished = progress.phase == ItemPhase::kWaiting ||
                              progress.phase == ItemPhase::kRunning;
      const uint64_t last_event = progress.last_event.value_or(0);
      if (!unfinished || last_event < progress.published_event + step) continue;
      const size_t from = progress.published_bytes;
      bytes += progress.output.size() - from;
      if (!updates.empty() && bytes > max_bytes) return updates;
      updates.push_back({.job = id,
                         .item = job.items[i].id,
                         .last_event = last_event,
                         .after_event = from > 0 ? progress.published_event : 0,
                         .after_hash = HashOfPrefix(progress.output, from),
                         .service = progress.service,
                         .software = progress.software,
                         .output = progress.output.substr(from)});
      progress.published_event = last_event;
      progress.published_bytes = progress.output.size();
    }
  }
  return updates;
}

void JobTable::MergePendingUpdates(const std::string& id) {
  auto pending = pending_updates_.extract(id);
  if (pending.empty()) return;
  for (ProgressUpdate& update : pending.mapped()) {
    pending_update_bytes_ -= update.output.size();
    MergeProgress(std::move(update));
  }
}

void JobTable::ForgetOutput(const ItemRef& item) {
  ItemProgress& progress = Find(item.job)->progress[item.index];
  progress.output.clear();
  progress.last_event.reset();
  progress.service.clear();
  progress.software.clear();
  progress.awaits_version_since.reset();
  progress.published_event = 0;
  progress.published_bytes = 0;
}

void JobTable::RepublishProgress(std::string_view holder) {
  for (auto& [id, job] : jobs_) {
    if (job.creator != holder && job.second_holder != holder) continue;
    for (ItemProgress& progress : job.progress) Unpublish(progress);
  }
}

void JobTable::RepublishItem(const std::string& id, const std::string& item) {
  BatchJob* job = Find(id);
  if (!job) return;
  const auto index = job->item_index.find(item);
  if (index != job->item_index.end()) Unpublish(job->progress[index->second]);
}

void JobTable::ForgetPublishedOutput(const std::string& id,
                                     const std::string& item) {
  BatchJob* job = Find(id);
  if (!job) return;
  const auto index = job->item_index.find(item);
  if (index != job->item_index.end())
    job->progress[index->second].published_bytes = 0;
}

void JobTable::ForgetPublishedOutputs() {
  for (auto& [id, job] : jobs_) {
    for (ItemProgress& progress : job.progress) progress.published_bytes = 0;
  }
}

ProgressOutcome JobTable::MergeProgress(ProgressUpdate&& update) {
  BatchJob* job = Find(update.job);
  if (!job) {
    if (pending_update_bytes_ >= kMaxPendingUpdateBytes) {
      return ProgressOutcome::kDeclined;
    }
    pending_update_bytes_ += update.output.size();
    pending_updates_[update.job].push_back(std::move(update));
    return ProgressOutcome::kApplied;
  }
  const auto index = job->item_index.find(update.item);
  if (index == job->item_index.end()) return ProgressOutcome::kDeclined;
  ItemProgress& progress = job->progress[index->second];
  if (progress.phase != ItemPhase::kWaiting) return ProgressOutcome::kDeclined;
  const uint64_t known = progress.last_event.value_or(0);
  if (update.last_event <= known) {
    return Includes(progress, update) ? ProgressOutcome::kApplied
                                      : ProgressOutcome::kDeclined;
  }
  if (update.after_event == 0) {
    progress.output = std::move(update.output);
    progress.service = std::move(update.service);
    progress.software = std::move(update.software);
  } else if (update.after_event == known &&
             update.service == progress.service &&
             update.software == progress.software &&
             update.after_hash ==
                 HashOfPrefix(progress.output, progress.output.size())) {
    progress.output += update.output;
  } else {
    return ProgressOutcome::kNotKnown;
  }
  progress.last_event = update.last_event;
  // Not to be published again: the gateway that sent it sends it to the next
  // gateway as well.
  progress.published_event = update.last_event;
  progress.published_bytes = progress.output.size();
  return ProgressOutcome::kApplied;
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
  const auto pending = pending_segments_.find(id);
  return pending != pending_segments_.end() && pending->second.contains(number);
}

bool JobTable::HasFullSegment(const std::string& id, uint32_t number) const {
  const BatchJob* job = Find(id);
  if (job && number < job->segments) {
    return !job->outline_segments.contains(number);
  }
  const auto pending = pending_segments_.find(id);
  if (pending == pending_segments_.end()) return false;
  const auto segment = pending->second.find(number);
  return segment != pending->second.end() && HasOutputs(segment->second);
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
    TimePoint now, TimePoint feasible_from,
    const std::function<bool(const BatchJob&)>& is_own,
    const std::function<bool(const BatchItem&)>& is_allowed) const {
  const auto precedes = [feasible_from](const BatchJob& a, const BatchJob& b) {
    const bool overdue_a = a.due_at < feasible_from;
    const bool overdue_b = b.due_at < feasible_from;
    return overdue_a != overdue_b ? overdue_b : a.due_at < b.due_at;
  };
  const BatchJob* best = nullptr;
  uint32_t best_index = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job.open() || (best && !precedes(job, *best)) || !is_own(job)) {
      continue;
    }
    for (uint32_t i = 0; i < job.items.size(); ++i) {
      const ItemProgress& progress = job.progress[i];
      if (progress.phase != ItemPhase::kWaiting || progress.not_before > now ||
          !is_allowed(job.items[i])) {
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

WaitingItems JobTable::CountWaiting(
    TimePoint now, const std::function<bool(const BatchJob&)>& is_own) const {
  WaitingItems waiting;
  for (const auto& [id, job] : jobs_) {
    if (!job.open() || !is_own(job)) continue;
    for (const ItemProgress& progress : job.progress) {
      if (progress.phase != ItemPhase::kWaiting) continue;
      ++(progress.not_before > now ? waiting.paused : waiting.ready);
    }
  }
  return waiting;
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

bool JobTable::HasUncommittedResults(const std::string& id) const {
  const auto finished = uncommitted_states_.find(id);
  return Find(id) && finished != uncommitted_states_.end() &&
         !finished->second.empty();
}

std::vector<ItemResult> JobTable::UncommittedResults(
    const std::string& id, const std::set<std::string>& except) const {
  std::vector<ItemResult> results;
  const BatchJob* job = Find(id);
  const auto finished = uncommitted_states_.find(id);
  if (!job || finished == uncommitted_states_.end()) return results;
  for (const auto& [index, state] : finished->second) {
    if (except.contains(job->items[index].id)) continue;
    ItemResult result{.item = job->items[index].id, .state = state};
    if (state == ItemState::kCompleted) {
      result.output = job->progress[index].output;
    }
    results.push_back(std::move(result));
  }
  return results;
}

}  // namespace knapweedstile::serving
