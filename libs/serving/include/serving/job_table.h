#ifndef KNAPWEEDSTILE_SERVING_JOB_TABLE_H_
#define KNAPWEEDSTILE_SERVING_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "serving/batch_job.h"
#include "serving/item_ref.h"
#include "serving/progress_outcome.h"
#include "serving/progress_update.h"
#include "serving/quota_scope.h"
#include "serving/waiting_items.h"

namespace knapweedstile::serving {

// All batch jobs known to this gateway: what the platform's store holds, and
// the progress of this gateway's own runs. Pure logic: no I/O, no clock, no
// threads; the caller passes the time.
//
// Results are kept as numbered segments of a job. Segment n is added only after
// segments 0 to n - 1, and each segment is created once in the store. A
// result's position in its job therefore never changes, and no item is listed
// twice, whichever gateways ran it.
//
// Designed for jobs of about ten items that are due within seconds, at times
// more of them than there are slots. Of the jobs that can still meet their
// deadline the one due first runs first. Jobs that can no longer meet it run
// after them, as otherwise each overdue job would make the next one late too.
class JobTable {
 public:
  // Commands: records of the store, in full or in outline. A job or segment
  // that is in the table is left unchanged, except that an outline is completed
  // by the full record.
  void AddJob(BatchJob&& job);
  // False when an earlier segment is missing; the segment is then kept until
  // that one is added.
  bool AddSegment(const std::string& job, uint32_t number,
                  std::vector<ItemResult>&& results);
  void EndJob(const std::string& job);
  void RemoveJob(const std::string& job);
  // Frees the output of a segment with a single result, at `position`, that can
  // be read again.
  void DropOutput(const std::string& job, uint32_t number, size_t position);

  // Commands: runs of this gateway.
  void SetRunning(const ItemRef& item);
  // The run ended without a result; the item may start again from `not_before`
  // on.
  void SetWaiting(const ItemRef& item, TimePoint not_before);
  // The item's next run begins with the first event.
  void ForgetOutput(const ItemRef& item);
  // The outcome of the item is known and is to be committed.
  void SetFinished(const ItemRef& item, ItemState state);

  // Updates for items that are at least `step` events past their last published
  // event, at most `max_bytes` of output (but at least one update). They count
  // as published from now on: an item's next update continues this one.
  std::vector<ProgressUpdate> TakeProgressUpdates(uint64_t step,
                                                  size_t max_bytes);
  // Merges the progress of an item on another gateway. It is applied if it is
  // ahead of the progress known here and the item is not running here. An
  // update for an unknown job is kept until the job is added.
  ProgressOutcome MergeProgress(ProgressUpdate&& update);
  // The update of the item was not applied, but the whole output would be: it
  // is sent again.
  void RepublishItem(const std::string& job, const std::string& item);
  // The item's next update has its whole output.
  void ForgetPublishedOutput(const std::string& job, const std::string& item);
  // The next update of each item has its whole output.
  void ForgetPublishedOutputs();
  // The gateway `holder` has restarted and lost its state: the progress of the
  // jobs that it holds counts as unpublished, so that it is sent again.
  void RepublishProgress(std::string_view holder);

  // Queries.
  const BatchJob* Find(std::string_view job) const;
  BatchJob* Find(std::string_view job);
  // Whether the job's end was received, also before the job.
  bool HasEnd(const std::string& job) const {
    return pending_ends_.contains(job);
  }
  // Whether the segment was received, also while it waits for an earlier one.
  bool HasSegment(const std::string& job, uint32_t number) const;
  // Whether it was also received with its outputs.
  bool HasFullSegment(const std::string& job, uint32_t number) const;
  // Tokens of the items of open jobs in the scope that have no result yet.
  uint64_t WaitingTokens(const QuotaScope& scope) const;
  // The item to start next: the first waiting item for which `is_allowed` is
  // true, in the open jobs for which `is_own` is true. Jobs that are due at
  // `feasible_from` or later can still meet their deadline; they precede the
  // others, by deadline.
  std::optional<ItemRef> NextItem(
      TimePoint now, TimePoint feasible_from,
      const std::function<bool(const BatchJob&)>& is_own,
      const std::function<bool(const BatchItem&)>& is_allowed) const;
  // Of the jobs for which `is_own` is true.
  WaitingItems CountWaiting(
      TimePoint now, const std::function<bool(const BatchJob&)>& is_own) const;
  // Segments and ends whose job is unknown, by job id.
  std::map<std::string, std::vector<uint32_t>> Orphans() const;
  // Results of finished items of a job that are not committed yet.
  std::vector<ItemResult> UncommittedResults(
      const std::string& job, const std::set<std::string>& except = {}) const;
  bool HasUncommittedResults(const std::string& job) const;
  const std::map<std::string, BatchJob, std::less<>>& jobs() const noexcept {
    return jobs_;
  }
  // Estimated memory of the items and results of all jobs.
  uint64_t bytes() const noexcept { return bytes_; }

 private:
  void MergePendingUpdates(const std::string& job);
  // Counts the memory of a job that has changed.
  void UpdateBytes(BatchJob& job);
  void CompleteOutline(BatchJob& outline, BatchJob&& full);
  void CompleteSegment(BatchJob& job, uint32_t number,
                       std::vector<ItemResult>&& results);
  void AppendSegment(BatchJob& job, std::vector<ItemResult>&& results);

  std::map<std::string, BatchJob, std::less<>> jobs_;
  uint64_t bytes_ = 0;
  // Segments and ends received before their job or an earlier segment.
  std::map<std::string, std::map<uint32_t, std::vector<ItemResult>>>
      pending_segments_;
  std::map<std::string, bool> pending_ends_;
  std::map<std::string, std::vector<ProgressUpdate>>
      pending_updates_;  // by job
  size_t pending_update_bytes_ = 0;
  // States of finished items that are not committed yet, by job and index.
  std::map<std::string, std::map<uint32_t, ItemState>> uncommitted_states_;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_JOB_TABLE_H_
