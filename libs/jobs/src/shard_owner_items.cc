// ShardOwner: handing items out, and their outcomes.

#include <algorithm>
#include <utility>

#include "jobs/item_line.h"
#include "jobs/lane_filter.h"
#include "jobs/result_line.h"
#include "jobs/shard_owner.h"

namespace knapweedstile::jobs {

std::optional<ItemWork> ShardOwner::NextItem(TimePoint now,
                                             const LaneHasRoom& has_room) {
  waiting_.Promote(now);
  LaneFilter filter(has_room);
  for (;;) {
    if (releasing_ || !lease_.Valid(now)) return std::nullopt;
    if (uncommitted_bytes() >= settings_.max_uncommitted_bytes) {
      return std::nullopt;
    }
    const auto job = MostUrgentReady(filter);
    const Lane* lane = waiting_.MostUrgent(filter);
    const bool waiting_first =
        lane != nullptr && (job == jobs_.end() ||
                            waiting_.UrgencyOf(*lane) <= job->second.urgency());
    if (waiting_first) {
      OutstandingItem item = waiting_.TakeFirst(Lane(*lane));
      OpenJob& of_item = jobs_.at(item.job);
      return HandOut(std::move(item), of_item);
    }
    if (job == jobs_.end()) return std::nullopt;
    if (auto item = TakeFrom(job, now)) {
      return HandOut(std::move(*item), job->second);
    }
  }
}

ShardOwner::Jobs::iterator ShardOwner::MostUrgentReady(LaneFilter& filter) {
  auto best = jobs_.end();
  if (in_flight_.size() + waiting_.size() >= settings_.max_outstanding) {
    return best;
  }
  for (auto it = jobs_.begin(); it != jobs_.end(); ++it) {
    OpenJob& job = it->second;
    if (!job.ready()) continue;
    if (best != jobs_.end() && !MoreUrgent(job, best->second)) continue;
    // A line that cannot run needs no room.
    const ItemLine& line = job.NextLine();
    if (!line.error.empty() ||
        filter.HasRoom({job.record().workspace, line.model})) {
      best = it;
    }
  }
  return best;
}

bool ShardOwner::MoreUrgent(const OpenJob& a, const OpenJob& b) const {
  if (a.urgency() != b.urgency()) return a.urgency() < b.urgency();
  const auto had = [&](const OpenJob& job) {
    const auto it = handed_out_by_workspace_.find(job.record().workspace);
    return it == handed_out_by_workspace_.end() ? 0 : it->second;
  };
  if (had(a) != had(b)) return had(a) < had(b);
  return a.handed_out < b.handed_out;
}

// Nothing for a line that cannot run: it gets its result at once.
std::optional<OutstandingItem> ShardOwner::TakeFrom(Jobs::iterator job,
                                                    TimePoint now) {
  OpenJob& open = job->second;
  ItemLine line = open.NextLine();
  const uint32_t index = open.TakeNext();
  if (!open.ready()) {
    open.DropSegment();
    input_wanted_ = true;
  }
  OutstandingItem item{job->first,
                       index,
                       std::move(line.custom_id),
                       std::move(line.body),
                       {open.record().workspace, std::move(line.model)},
                       {}};
  if (line.error.empty()) return item;
  AddResult(item, true,
            FailedLine(index, item.custom_id, "invalid_item", line.error, 0),
            now);
  return std::nullopt;
}

ItemWork ShardOwner::HandOut(OutstandingItem item, OpenJob& job) {
  ++stats_.handed_out;
  ++job.handed_out;
  ++handed_out_by_workspace_[job.record().workspace];
  const auto attempts = job.progress.attempts.find(item.index);
  ItemWork work;
  work.ticket = ItemTicket(++last_ticket_);
  work.job = {shard_, item.job};
  work.index = item.index;
  work.workspace = job.record().workspace;
  work.custom_id = item.custom_id;
  work.body = item.body;
  work.due_ms = job.record().due_ms;
  work.attempt =
      1 + (attempts == job.progress.attempts.end() ? 0 : attempts->second);
  work.partial = item.partial;
  work.fence = fence();
  in_flight_.emplace(work.ticket, std::move(item));
  return work;
}

void ShardOwner::OnItemDone(ItemTicket ticket, std::string_view response,
                            TimePoint now) {
  const auto item = End(ticket);
  if (!item) return;
  JobProgress& progress = jobs_.at(item->job).progress;
  const auto failed = progress.attempts.find(item->index);
  const uint32_t attempts =
      1 + (failed == progress.attempts.end() ? 0 : failed->second);
  if (response.size() > kMaxResponseBytes) {
    return AddResult(
        *item, true,
        FailedLine(item->index, item->custom_id, "response_too_large",
                   "the response is larger than can be kept", attempts),
        now);
  }
  AddResult(*item, false,
            CompletedLine(item->index, item->custom_id, response, attempts),
            now);
}

void ShardOwner::OnItemFailed(ItemTicket ticket, ItemFailure failure,
                              TimePoint now) {
  auto item = End(ticket);
  if (!item) return;
  uint32_t& attempts = jobs_.at(item->job).progress.attempts[item->index];
  ++attempts;
  if (failure.kind == ItemFailureKind::kAttempt) {
    ++stats_.failed_attempts;
    if (attempts < settings_.max_attempts) {
      item->partial = std::move(failure.partial);
      return Wait(std::move(*item), now + settings_.retry_after * attempts);
    }
  }
  AddResult(*item, true,
            FailedLine(item->index, item->custom_id, failure.code,
                       failure.message, attempts),
            now);
}

void ShardOwner::OnItemYielded(ItemTicket ticket, PartialOutput partial,
                               TimePoint now) {
  auto item = End(ticket);
  if (!item) return;
  ++stats_.yields;
  item->partial = std::move(partial);
  Wait(std::move(*item), now);
}

void ShardOwner::OnItemRefused(ItemTicket ticket, TimePoint come_back_at,
                               TimePoint now) {
  auto item = End(ticket);
  if (item) Wait(std::move(*item), std::max(now, come_back_at));
}

std::optional<OutstandingItem> ShardOwner::End(ItemTicket ticket) {
  const auto it = in_flight_.find(ticket);
  if (it != in_flight_.end()) {
    OutstandingItem item = std::move(it->second);
    in_flight_.erase(it);
    if (!settings_.first_result_wins) ended_[ticket] = item;
    return item;
  }
  const auto again = ended_.find(ticket);
  if (again != ended_.end() && jobs_.contains(again->second.job)) {
    return again->second;
  }
  ++stats_.late_results;
  return std::nullopt;
}

void ShardOwner::Wait(OutstandingItem item, TimePoint ready_at) {
  if (item.partial.text.size() > settings_.max_partial_bytes) item.partial = {};
  const int64_t urgency = jobs_.at(item.job).urgency();
  waiting_.Add(std::move(item), urgency, ready_at);
}

void ShardOwner::AddResult(const OutstandingItem& item, bool failed,
                           std::string line, TimePoint now) {
  OpenJob& job = jobs_.at(item.job);
  if (settings_.first_result_wins && job.progress.done.Contains(item.index)) {
    ++stats_.late_results;
    return;
  }
  ++job.uncommitted;
  results_.Add({item.job, item.index, failed, std::move(line)}, now);
}

}  // namespace knapweedstile::jobs
