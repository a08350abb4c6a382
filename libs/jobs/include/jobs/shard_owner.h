#ifndef KNAPWEEDSTILE_JOBS_SHARD_OWNER_H_
#define KNAPWEEDSTILE_JOBS_SHARD_OWNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "jobs/backoff.h"
#include "jobs/call_queue.h"
#include "jobs/item_failure.h"
#include "jobs/item_ticket.h"
#include "jobs/item_work.h"
#include "jobs/lane.h"
#include "jobs/open_job.h"
#include "jobs/result_buffer.h"
#include "jobs/shard_lease.h"
#include "jobs/shard_owner_settings.h"
#include "jobs/shard_owner_stats.h"
#include "jobs/waiting_items.h"
#include "platform/store_answer.h"

namespace knapweedstile::jobs {

class LaneFilter;

// One process's part in one job shard: takes the shard's lease when it is free,
// hands the items of the shard's jobs out, and commits their results. Without
// network, clock, thread or log: after each call the shell makes the calls of
// TakeCalls(), stops the items of TakeStops(), and comes back at next_wakeup().
//
// A commit is two writes: a result segment that nothing refers to yet, then the
// shard's head, conditionally. What the head does not name does not count.
//
// Failures guarded against:
// - The owner dies or is replaced at any point: its uncommitted results are
//   lost, the next owner runs those items again, and the head admits each item
//   once. Running twice is waste; committing twice is the fault.
// - A second result of an item (a late answer after a retry): each ticket takes
//   one outcome, and done items take none.
// - An item that crashes whatever runs it: its attempts are bounded, counted in
//   the head over all owners, and it ends with its own error.
// - A job is cancelled while a replaced owner still believes in its lease: the
//   job is closed in the head first, which only the holder can do. From then on
//   its results are the same for every owner, so whoever writes the job's final
//   object writes the same thing.
// - A list of job objects that was answered before a job was finished, but
//   arrives after: the job's final version is remembered until a later list
//   passes it, so the job does not begin anew.
// - The platform is out: results wait up to a bound in bytes; beyond, and once
//   the lease has lapsed, nothing is handed out.
class ShardOwner {
 public:
  ShardOwner(const ShardOwnerSettings& settings, uint32_t shard,
             std::string holder, uint64_t incarnation, uint64_t seed);

  // Whether this process shall own the shard; one that owns it keeps it until
  // Release().
  void SetCandidate(bool candidate, TimePoint now);
  // Graceful: hands nothing out, commits what comes in, then gives the lease up
  // so that another process takes it at once.
  void Release(TimePoint now);
  // Lets go of the items in flight; another owner runs them again.
  void AbandonInFlight(TimePoint now);
  // Looks for new jobs now: one was submitted through this process.
  void PollSoon(TimePoint now);
  void Tick(TimePoint now);
  void OnAnswer(const platform::StoreAnswer& answer, TimePoint now);
  std::vector<platform::StoreRequest> TakeCalls() { return calls_.Take(); }
  // Items to be stopped at their backend servers; their outcomes are dropped.
  std::vector<ItemTicket> TakeStops();

  // The next item to run: the earliest due first, and among those due at about
  // the same time in turn between workspaces and then between jobs.
  //
  // Load pattern: one model is full while others idle. Only lanes with room are
  // chosen from; without that, the items of the full one come back first again
  // and again, and the others' never come up.
  std::optional<ItemWork> NextItem(TimePoint now,
                                   const LaneHasRoom& has_room = {});
  // The outcome of an item, once for each ticket. `response`: JSON.
  void OnItemDone(ItemTicket ticket, std::string_view response, TimePoint now);
  void OnItemFailed(ItemTicket ticket, ItemFailure failure, TimePoint now);
  // The item made room; counts as no attempt.
  void OnItemYielded(ItemTicket ticket, PartialOutput partial, TimePoint now);
  // The item did not run; counts as no attempt.
  void OnItemRefused(ItemTicket ticket, TimePoint come_back_at, TimePoint now);

  bool held() const noexcept { return lease_.held(); }
  bool Valid(TimePoint now) const noexcept { return lease_.Valid(now); }
  uint64_t fence() const noexcept { return lease_.fence(); }
  const ShardLease& lease() const noexcept { return lease_; }
  uint32_t shard() const noexcept { return shard_; }
  size_t open_jobs() const noexcept { return jobs_.size(); }
  size_t in_flight() const noexcept { return in_flight_.size(); }
  size_t waiting() const noexcept { return waiting_.size(); }
  // Bytes of results and input that this owner holds; bounded by the settings.
  size_t uncommitted_bytes() const noexcept;
  size_t held_input_bytes() const noexcept;
  const ShardOwnerStats& stats() const noexcept { return stats_; }
  // Changes with every call, also with NextItem() and the items' outcomes.
  TimePoint next_wakeup(TimePoint now) const;

 private:
  using Jobs = std::map<std::string, OpenJob>;  // by the id's hash

  enum class CallKind {
    kListJobs,
    kReadJob,
    kReadInput,
    kWriteResults,
    kVerifyResults,
    kFinishJob,
    kReadFinished,
  };
  struct PendingCall {
    CallKind kind = CallKind::kListJobs;
    std::string job;
    InputSegmentRef segment;
  };
  enum class FlushStep { kNone, kWriting, kWaiting, kStored, kCommitting };
  struct Flush {
    FlushStep step = FlushStep::kNone;
    uint64_t sequence = 0;
    std::vector<ItemResult> results;
    std::string value;
    TimePoint retry_at;
  };

  // Lease.
  void HandleLeaseEvents(TimePoint now);
  void Adopt(const ShardHead& head, TimePoint now);
  void OnCommitted();
  void Forget();
  void StopItemsOf(const std::string& hash);
  // Jobs.
  void PollJobs(TimePoint now);
  void OnJobsListed(const platform::StoreAnswer& answer, TimePoint now);
  void TakeIn(const platform::StoredObject& object);
  void TakeInNew(const std::string& hash, JobRecord record, uint64_t version);
  void TakeInKnown(const std::string& hash, OpenJob& job, JobRecord record,
                   uint64_t version);
  void ReadRecords(TimePoint now);
  void OnJobRead(const std::string& hash, const platform::StoreAnswer& answer,
                 TimePoint now);
  void AdmitJobs();
  void Cancel(const std::string& hash, OpenJob& job);
  void Drop(Jobs::iterator job);
  // Input.
  void LoadInputs(TimePoint now);
  Jobs::iterator MostUrgentWithoutInput();
  bool HasInputRoom() const;
  bool MakeRoomFor(const OpenJob& wanting);
  void OnInputRead(const PendingCall& call, const platform::StoreAnswer& answer,
                   TimePoint now);
  // Items.
  Jobs::iterator MostUrgentReady(LaneFilter& filter);
  bool MoreUrgent(const OpenJob& a, const OpenJob& b) const;
  ItemWork HandOut(OutstandingItem item, OpenJob& job);
  std::optional<OutstandingItem> TakeFrom(Jobs::iterator job, TimePoint now);
  std::optional<OutstandingItem> End(ItemTicket ticket);
  void Wait(OutstandingItem item, TimePoint ready_at);
  void AddResult(const OutstandingItem& item, bool failed, std::string line,
                 TimePoint now);
  // Commit.
  bool FlushDue(TimePoint now) const;
  Duration FlushPeriod() const;
  void StartFlush(TimePoint now);
  void SendResults(TimePoint now);
  void OnResultsWritten(const platform::StoreAnswer& answer, TimePoint now);
  void OnResultsVerified(const platform::StoreAnswer& answer, TimePoint now);
  void GiveUpLease(TimePoint now);
  bool HeadWriteDue(TimePoint now) const;
  void WriteHead(TimePoint now);
  void ApplyFlush();
  void CloseCancelled();
  ShardHead BuildHead() const;
  uint64_t IntakeRevision() const;
  // Finish.
  void FinishJobs(TimePoint now);
  void SendFinish(const std::string& hash, OpenJob& job, TimePoint now);
  void OnFinishWritten(const std::string& hash,
                       const platform::StoreAnswer& answer, TimePoint now);
  void OnFinishedRead(const std::string& hash,
                      const platform::StoreAnswer& answer, TimePoint now);
  bool CanFinish(const OpenJob& job) const;
  void Finished(const std::string& hash, uint64_t version);

  void Add(platform::StoreCall call, PendingCall pending, TimePoint now);
  platform::ReadRequest ReadOf(const std::string& hash) const;
  bool ReleaseReady() const;
  bool MayCall(TimePoint now) const;
  uint32_t CallsInFlight(CallKind kind) const;

  ShardOwnerSettings settings_;
  uint32_t shard_;
  CallQueue calls_;
  ShardLease lease_;
  Backoff backoff_;
  std::unordered_map<uint64_t, PendingCall> pending_calls_;

  Jobs jobs_;
  std::map<std::string, uint64_t> finished_;  // final versions, by hash
  std::map<std::string, uint64_t> handed_out_by_workspace_;
  uint64_t listed_to_ = 0;  // revision up to which job objects are known
  TimePoint poll_at_ = kNever;
  bool polling_ = false;
  bool poll_again_ = false;
  bool input_wanted_ = false;  // a segment was used up since LoadInputs()
  TimePoint retry_jobs_at_;    // reads and final writes that met an outage

  std::unordered_map<ItemTicket, OutstandingItem> in_flight_;
  // Only with first_result_wins off: tickets that ended.
  std::unordered_map<ItemTicket, OutstandingItem> ended_;
  uint64_t last_ticket_ = 0;
  WaitingItems waiting_;
  std::vector<ItemTicket> stops_;

  ResultBuffer results_;
  Flush flush_;
  uint64_t next_sequence_ = 1;
  bool closing_ = false;  // a cancelled job is not closed in the head yet
  bool releasing_ = false;
  ShardOwnerStats stats_;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_SHARD_OWNER_H_
