#include "batch/result_committer.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "batch/large_result.h"
#include "batch/large_result_writer.h"
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
// After the store has rejected even the smallest segment.
constexpr std::chrono::seconds kRejectedPause{60};
constexpr size_t kMinSegmentBytes = 64;

}  // namespace

ResultCommitter::ResultCommitter(
    StoreCalls& store, const RecordKinds& kinds, serving::JobTable& jobs,
    LargeResultWriter& large_results,
    std::function<void(const std::string&)> committed,
    std::function<void(const StoreRecord&)> written)
    : store_(store),
      kinds_(kinds),
      jobs_(jobs),
      large_results_(large_results),
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
    if (!known || known->ended || !jobs_.HasUncommittedResults(job)) {
      at = pending_.erase(at);
      continue;
    }
    Write(job, pending, now);
    ++at;
  }
}

// While the job is open, the segment is written with all results that have
// finished since then.
bool ResultCommitter::IsUnsettled(const Pending& pending,
                                  const serving::BatchJob& job) {
  return pending.maybe_written && (job.ended || job.segments > pending.number);
}

bool ResultCommitter::FillSegment(const std::string& job, Pending& pending) {
  std::vector<ItemResult> results;
  size_t bytes = 0;
  for (ItemResult& result :
       jobs_.UncommittedResults(job, large_results_.ItemsOf(job))) {
    const size_t size = EncodedSize(result);
    if (size > pending.max_bytes && !result.output.empty()) {
      large_results_.Begin(job, result);
      continue;
    }
    if (!results.empty() && bytes + size > pending.max_bytes) continue;
    bytes += size;
    results.push_back(std::move(result));
  }
  std::string value = EncodeSegment(results);
  if (results.empty()) {
    const auto large = large_results_.NextComplete(job);
    if (!large) return false;
    value = EncodeLargeResult(*large);
    results.push_back({.item = large->item,
                       .state = large->state,
                       .has_output = false,
                       .in_parts = true});
  }
  pending.number = jobs_.Find(job)->segments;
  pending.record = {SegmentName(job, pending.number), std::move(value)};
  pending.results = std::move(results);
  return true;
}

void ResultCommitter::Write(const std::string& job, Pending& pending,
                            TimePoint now) {
  if (!FillSegment(job, pending)) {
    pending.write_at = now + kBatchingDelay;
    return;
  }
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
    case StoreOutcome::kRejected:
      return OnRejected(job, answer.message);
    default:
      LogWarning("commit_postponed", {{"job", job},
                                      {"segment", pending.number},
                                      {"outcome", NameOf(answer.outcome)},
                                      {"reason", answer.message}});
      return ScheduleRetry(job);
  }
}

void ResultCommitter::OnRejected(const std::string& job,
                                 const std::string& reason) {
  Pending& pending = pending_[job];
  const size_t size = pending.record.value.size();
  large_results_.OnRejected(job, pending.record.name, size, reason);
  pending.maybe_written = false;
  ScheduleRetry(job);
  if (pending.max_bytes <= kMinSegmentBytes) {
    pending.write_at = MonotonicNow() + kRejectedPause;
  }
  pending.max_bytes = std::min(pending.max_bytes, size) / 2;
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
