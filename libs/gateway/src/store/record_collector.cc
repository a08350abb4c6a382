#include "store/record_collector.h"

#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "batch/large_result.h"
#include "batch/large_result_index.h"
#include "batch/record_kinds.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::seconds kSearchInterval{1};
constexpr std::chrono::milliseconds kDeleteTimeout{1500};
// A segment may be read before its job while a list is in progress. After this
// time, its job is considered deleted.
constexpr std::chrono::seconds kOrphanTimeout{60};

}  // namespace

RecordCollector::RecordCollector(
    StoreCalls& store, const RecordKinds& kinds, serving::JobTable& jobs,
    LargeResultIndex& large_results, Settings settings,
    std::function<bool(const std::string&)> collects)
    : store_(store),
      kinds_(kinds),
      jobs_(jobs),
      large_results_(large_results),
      settings_(settings),
      collects_job_(std::move(collects)) {}

void RecordCollector::Run(TimePoint now, bool has_records) {
  if (!has_records || !store_.available()) orphaned_since_.clear();
  if (now >= next_search_at_ && pending_deletes_.empty()) {
    next_search_at_ = now + kSearchInterval;
    FindExpired(now);
    if (has_records && store_.available()) FindOrphans(now);
  }
  if (!in_flight_ && !pending_deletes_.empty() && store_.available())
    DeleteNext();
}

void RecordCollector::FindExpired(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [id, job] : jobs_.jobs()) {
    if (!job.open() && job.received_at + settings_.retention <= now) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    const serving::BatchJob& job = *jobs_.Find(id);
    if (collects_job_(id)) {
      LogInfo("job_collected", {{"job", id}, {"results", job.results.size()}});
      pending_deletes_.push_back(JobName(id));
      for (uint32_t number = 0; number < job.segments; ++number) {
        pending_deletes_.push_back(SegmentName(id, number));
      }
      if (job.ended) pending_deletes_.push_back(EndName(id));
      DeleteLargeResults(id);
      jobs_.RemoveJob(id);
    }
  }
}

void RecordCollector::FindOrphans(TimePoint now) {
  std::map<std::string, std::vector<uint32_t>> found = jobs_.Orphans();
  for (const auto& [id, markers] : large_results_.jobs()) {
    if (!jobs_.Find(id)) found.try_emplace(id);
  }
  std::erase_if(orphaned_since_, [&](const auto& orphan) {
    return !found.contains(orphan.first);
  });
  for (const auto& [id, segments] : found) {
    const TimePoint since = orphaned_since_.try_emplace(id, now).first->second;
    if (now - since < kOrphanTimeout || !collects_job_(id)) continue;
    for (const uint32_t number : segments) {
      pending_deletes_.push_back(SegmentName(id, number));
    }
    pending_deletes_.push_back(EndName(id));
    DeleteLargeResults(id);
    LogWarning("orphans_collected",
               {{"job", id}, {"segments", segments.size()}});
    jobs_.RemoveJob(id);
  }
}

void RecordCollector::DeleteLargeResults(const std::string& job) {
  for (std::string& name : large_results_.Take(job)) {
    pending_deletes_.push_back(std::move(name));
  }
}

void RecordCollector::DeleteNext() {
  in_flight_ = true;
  const std::string name = pending_deletes_.front();
  pending_deletes_.pop_front();
  const RecordName record = ParseRecordName(name);
  store_.Call(platform::DeleteRequest{.kind = record.type == RecordType::kPart
                                                  ? std::string(kPartKind)
                                                  : kinds_.KindOfJob(record.id),
                                      .name = name},
              MonotonicNow() + kDeleteTimeout,
              [this, name](platform::StoreAnswer&& answer) {
                OnDeleted(name, answer);
              });
}

void RecordCollector::OnDeleted(const std::string& name,
                                const platform::StoreAnswer& answer) {
  in_flight_ = false;
  const bool deleted = answer.outcome == platform::StoreOutcome::kOk ||
                       answer.outcome == platform::StoreOutcome::kNotFound;
  // Retries it first, so that the job's own record is still deleted before the
  // others.
  if (!deleted) pending_deletes_.push_front(name);
}

}  // namespace knapweedstile::gateway
