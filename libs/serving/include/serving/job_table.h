#ifndef KNAPWEEDSTILE_SERVING_JOB_TABLE_H_
#define KNAPWEEDSTILE_SERVING_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "serving/batch_job.h"
#include "serving/item_ref.h"
#include "serving/progress_update.h"
#include "serving/quota_scope.h"

namespace knapweedstile::serving {

// All batch jobs as one entry knows them: what the platform's store holds, and
// the progress of this entry's own runs. No network, clock or thread.
//
// Results are kept as numbered segments of a job. Segment n may be added only
// after segments 0 to n - 1, and each segment is created once in the store, so
// a position of a job never changes and no item is listed twice, whoever ran
// it.
//
// Load pattern: jobs of some ten items that are due in seconds, more of them
// for a while than there is room. Of the jobs that can still be in time the one
// that is due first goes first; those that cannot any more come after them, or
// each overdue job would make the next one late as well.
class JobTable {
 public:
  // Commands: what the store holds.
  // A job that is known already stays as it is.
  void AddJob(BatchJob&& job);
  // False when an earlier segment is missing; the segment is then kept until
  // it can be added.
  bool AddSegment(const std::string& job, uint32_t number,
                  std::vector<ItemResult>&& results);
  void EndJob(const std::string& job);
  void RemoveJob(const std::string& job);

  // Commands: this entry's runs.
  void SetRunning(const ItemRef& item);
  // The run ended without a result; it may start again from `not_before` on.
  void SetWaiting(const ItemRef& item, TimePoint not_before);
  // The item's outcome is known and waits to be committed.
  void SetFinished(const ItemRef& item, ItemState state);

  // Notes of items that have come `step` events further since they were last
  // noted, at most `most_bytes` of them; they count as told from now on.
  std::vector<ProgressUpdate> TakeProgressUpdates(uint64_t step,
                                                  size_t most_bytes);
  // What another entry tells of an item; taken when it is further than what is
  // known here and nothing runs it here. A note of a job that is not known yet
  // is kept until it is.
  void MergeProgress(ProgressUpdate&& note);
  // The entry that took these jobs on has lost its memory: what is known here
  // of its waiting items counts as told to nobody.
  void RepublishProgress(std::string_view creator);

  // Queries.
  const BatchJob* Find(std::string_view job) const;
  BatchJob* Find(std::string_view job);
  // Whether the segment is known, also where it waits for an earlier one.
  bool HasSegment(const std::string& job, uint32_t number) const;
  // Tokens of the open jobs' items in the scope that have no result yet.
  uint64_t WaitingTokens(const QuotaScope& scope) const;
  // The item to start next: of the open jobs for which `mine` is true, the
  // first waiting item that `free` allows. Jobs that are due after `in_time`
  // can still be in time.
  std::optional<ItemRef> NextItem(
      TimePoint now, TimePoint in_time,
      const std::function<bool(const BatchJob&)>& mine,
      const std::function<bool(const BatchItem&)>& free) const;
  // Segments and ends whose job is not known, by the job's id.
  std::map<std::string, std::vector<uint32_t>> Orphans() const;
  // Finished items of a job that are not committed yet.
  std::vector<ItemResult> UncommittedResults(const std::string& job) const;
  const std::map<std::string, BatchJob, std::less<>>& jobs() const noexcept {
    return jobs_;
  }

 private:
  void MergePendingUpdates(const std::string& job);
  void AppendSegment(BatchJob& job, std::vector<ItemResult>&& results);

  std::map<std::string, BatchJob, std::less<>> jobs_;
  // Segments and ends that came before their job or an earlier segment.
  std::map<std::string, std::map<uint32_t, std::vector<ItemResult>>>
      pending_segments_;
  std::map<std::string, bool> pending_ends_;
  std::map<std::string, std::vector<ProgressUpdate>>
      pending_updates_;  // by job
  size_t pending_update_bytes_ = 0;
  // States of finished items that wait for their commit.
  std::map<std::string, std::map<uint32_t, ItemState>> uncommitted_states_;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_JOB_TABLE_H_
