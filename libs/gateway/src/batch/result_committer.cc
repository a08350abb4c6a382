#include "batch/result_committer.h"

#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "batch/record_kinds.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;
using serving::ItemResult;

// A few items of a job finish per second, and readers poll twice a second. One
// write per item would cost store calls without a benefit to readers.
constexpr std::chrono::milliseconds kBatchingDelay{250};
constexpr std::chrono::milliseconds kRetryPause{250};
// A slow store responds within a quarter of a second.
constexpr std::chrono::milliseconds kWriteTimeout{1500};
// Below the store's limit on the size of a value, which leaves space for
// escapes.
constexpr size_t kMaxSegmentBytes = 600 << 10;

// Returns as many leading results as fit into one segment, at least one.
std::vector<ItemResult> FirstSegment(std::vector<ItemResult>&& results) {
  size_t bytes = 0;
  size_t count = 0;
  while (count < results.size()) {
    bytes += results[count].output.size() + results[count].item.size();
    if (count > 0 && bytes > kMaxSegmentBytes) break;
    ++count;
  }
  results.resize(count);
  return std::move(results);
}

}  // namespace

ResultCommitter::ResultCommitter(
    StoreCalls& store, const RecordKinds& kinds, serving::JobTable& jobs,
    std::function<void(const std::string&)> committed,
    std::function<void(const StoreRecord&)> written)
    : store_(store),
      kinds_(kinds),
      jobs_(jobs),
      committed_(std::move(committed)),
      written_(std::move(written)) {}

void ResultCommitter::OnItemFinished(const std::string& job, TimePoint now) {
  const auto [pending, is_new] = pending_.try_emplace(job);
  if (is_new) pending->second.write_at = now + kBatchingDelay;
}

void ResultCommitter::Run(TimePoint now) {
  for (auto at = pending_.begin(); at != pending_.end();) {
    Pending& pending = at->second;
    const std::string& job = at->first;
    if (pending.in_flight || pending.write_at > now) {
      ++at;
      continue;
    }
    const serving::BatchJob* known = jobs_.Find(job);
    if (known && IsUnsettled(pending, *known)) {
      LogInfo("segment_repeated", {{"job", job}, {"segment", pending.number}});
      Send(job, pending);
      ++at;
      continue;
    }
    if (!known || known->ended || jobs_.UncommittedResults(job).empty()) {
      at = pending_.erase(at);
      continue;
    }
    Write(job, pending);
    ++at;
  }
}

// While the job is open, the segment is written with all results that have
// finished since then.
bool ResultCommitter::IsUnsettled(const Pending& pending,
                                  const serving::BatchJob& job) {
  return pending.maybe_written && (job.ended || job.segments > pending.number);
}

void ResultCommitter::Write(const std::string& job, Pending& pending) {
  pending.number = jobs_.Find(job)->segments;
  pending.results = FirstSegment(jobs_.UncommittedResults(job));
  pending.record = {SegmentName(job, pending.number),
                    EncodeSegment(pending.results)};
  Send(job, pending);
}

void ResultCommitter::Send(const std::string& job, Pending& pending) {
  pending.in_flight = true;
  store_.CallDirectOrRelayed(
      platform::WriteRequest{.kind = kinds_.KindOfJob(job),
                             .name = pending.record.name,
                             .if_version = 0,
                             .value = pending.record.value},
      MonotonicNow() + kWriteTimeout,
      [this, job](StoreAnswer&& answer) { OnWritten(job, std::move(answer)); });
}

void ResultCommitter::OnWritten(const std::string& job, StoreAnswer&& answer) {
  Pending& pending = pending_[job];
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      written_(pending.record);
      return ApplySegment(job, pending.number, std::move(pending.results));
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      pending.maybe_written = true;
      return ReadBack(job, pending.number);
    default:
      LogWarning("commit_postponed", {{"job", job},
                                      {"segment", pending.number},
                                      {"outcome", NameOf(answer.outcome)},
                                      {"reason", answer.message}});
      return ScheduleRetry(job);
  }
}

void ResultCommitter::ReadBack(const std::string& job, uint32_t number) {
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = kinds_.KindOfJob(job),
                            .name = SegmentName(job, number)},
      MonotonicNow() + kWriteTimeout,
      [this, job, number](StoreAnswer&& answer) {
        OnReadBack(job, number, std::move(answer));
      });
}

void ResultCommitter::OnReadBack(const std::string& job, uint32_t number,
                                 StoreAnswer&& answer) {
  if (answer.outcome != StoreOutcome::kOk || answer.objects.empty()) {
    return ScheduleRetry(job);
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        const platform::StoredObject& object = answer.objects.front();
        BOOST_LEAF_AUTO(results, DecodeSegment(object.value));
        // It may be this gateway's own segment, whose write response was lost.
        written_({object.name, object.value});
        ApplySegment(job, number, std::move(results));
        return {};
      },
      [&](const Error& error) {
        LogError(
            "segment_invalid",
            {{"job", job}, {"segment", number}, {"reason", error.message}});
        ScheduleRetry(job);
      },
      [&] { ScheduleRetry(job); });
}

void ResultCommitter::ApplySegment(const std::string& job, uint32_t number,
                                   std::vector<ItemResult>&& results) {
  LogInfo("segment_committed",
          {{"job", job}, {"segment", number}, {"results", results.size()}});
  jobs_.AddSegment(job, number, std::move(results));
  Pending& pending = pending_[job];
  pending.in_flight = false;
  pending.maybe_written = false;
  pending.results.clear();
  pending.write_at = MonotonicNow() + kBatchingDelay;
  committed_(job);
}

void ResultCommitter::ScheduleRetry(const std::string& job) {
  Pending& pending = pending_[job];
  pending.in_flight = false;
  pending.write_at = MonotonicNow() + kRetryPause;
}

}  // namespace knapweedstile::gateway
