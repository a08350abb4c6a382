#include "batch/job_writer.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/record_kinds.h"
#include "platform/store_request.h"
#include "resource_limits.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

// A slow store responds within a quarter of a second. A response that takes
// longer than this timeout counts as lost, and the record is read back.
constexpr std::chrono::milliseconds kWriteTimeout{700};
// Callers wait four seconds for the response.
constexpr std::chrono::milliseconds kSubmitTimeout{3000};
constexpr std::chrono::milliseconds kReadTimeout{800};
// Peers acknowledge records within about 20 ms. A job that would exceed this
// gateway's share of the quota waits for that, but not as long as callers wait
// for their response.
constexpr std::chrono::milliseconds kMaxDeferral{250};
// Every gateway reads the store at least this often: the pause between reads of
// the record mirrors, plus the duration of a read.
constexpr std::chrono::seconds kMaxStoreReadInterval{65};
constexpr uint32_t kMaxRejectedWrites = 3;
// Below the store's limit on the size of a value; the margin is for JSON
// escapes.
constexpr size_t kMaxRecordBytes = 1000000;
constexpr int64_t kNanosPerMilli = 1000000;

}  // namespace

JobWriter::JobWriter(StoreCalls& store, const RecordKinds& kinds,
                     serving::JobTable& jobs, observe::Metrics& metrics,
                     const ResourceLimits& limits, Callbacks callbacks)
    : store_(store),
      kinds_(kinds),
      jobs_(jobs),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      max_job_bytes_(limits.job_bytes),
      max_pending_bytes_(limits.submission_bytes),
      max_pending_(limits.calls) {}

std::string_view JobWriter::MissingRoom(size_t record_bytes) const {
  uint64_t bytes = record_bytes;
  for (const auto& [id, submission] : submissions_) {
    bytes += submission.request.record.submission.size();
  }
  for (const DeferredSubmission& deferred : deferred_) {
    bytes += deferred.request.record.submission.size();
  }
  if (bytes > max_pending_bytes_ ||
      submissions_.size() + deferred_.size() >= max_pending_) {
    return "submissions";
  }
  return jobs_.bytes() + bytes > max_job_bytes_ ? "job_memory" : "";
}

serving::QuotaVerdict JobWriter::CheckQuota(const Request& request) const {
  if (request.max_waiting_tokens == 0) return serving::QuotaVerdict::kAccept;
  const serving::QuotaScope scope = request.scope();
  uint64_t waiting = jobs_.WaitingTokens(scope);
  for (const auto& [id, submission] : submissions_) {
    if (submission.request.scope() == scope) {
      waiting += submission.request.tokens;
    }
  }
  const auto verdict =
      quota_.Check(scope, waiting, request.tokens, request.max_waiting_tokens,
                   callbacks_.gateway_count());
  // Guards against a gateway that resumes after a pause, or was disconnected,
  // and does not know all waiting jobs: it would accept jobs for quota that its
  // peers have already used. An unreachable peer may accept jobs as well. That
  // matters only in the upper half of the limit, because two partitions that
  // cannot reach each other exceed the limit together only if one of them uses
  // more than half of it.
  const bool upper_half =
      2 * (waiting + request.tokens) > request.max_waiting_tokens;
  const bool known = upper_half ? callbacks_.has_all_records()
                                : callbacks_.has_live_peer_records();
  if (known || verdict == serving::QuotaVerdict::kOverLimit) return verdict;
  // The read may bring the missing jobs. The submission is deferred and checked
  // again.
  callbacks_.refresh_records();
  return serving::QuotaVerdict::kAwaitPeers;
}

void JobWriter::RecordRejection(const Request& request, SubmitOutcome outcome,
                                std::string_view cause) {
  LogWarning("job_refused", {{"job", request.job},
                             {"outcome", NameOf(outcome)},
                             {"cause", cause},
                             {"tokens", request.tokens},
                             {"workspace", request.record.workspace.empty()
                                               ? "-"
                                               : request.record.workspace},
                             {"waiting", jobs_.WaitingTokens(request.scope())},
                             {"limit", request.max_waiting_tokens}});
  metrics_.Add("knap_jobs_total", {std::string(NameOf(outcome))});
}

void JobWriter::Submit(Request&& request, SubmitCallback done) {
  // A resubmission: the caller did not receive the acceptance.
  if (jobs_.Find(request.job)) return done(SubmitOutcome::kAccepted);
  if (EncodeJob(request.record).size() > kMaxRecordBytes) {
    RecordRejection(request, SubmitOutcome::kTooLarge, "record_bytes");
    return done(SubmitOutcome::kTooLarge);
  }
  if (request.max_waiting_tokens != 0) {
    // In a fleet with several shards, a job is known only to the cell that
    // holds its shard. Each cell therefore uses only a share of the limit: the
    // share of all shards that it holds.
    const auto limit = static_cast<double>(request.max_waiting_tokens);
    request.max_waiting_tokens = std::max<uint64_t>(
        1, static_cast<uint64_t>(limit * callbacks_.shard_share()));
  }
  if (const std::string_view cause =
          MissingRoom(request.record.submission.size());
      !cause.empty()) {
    RecordRejection(request, SubmitOutcome::kUnavailable, cause);
    return done(SubmitOutcome::kUnavailable);
  }
  if (!store_.reachable()) {
    RecordRejection(request, SubmitOutcome::kUnavailable, "store_unavailable");
    return done(SubmitOutcome::kUnavailable);
  }
  switch (CheckQuota(request)) {
    case serving::QuotaVerdict::kAccept:
      return StartSubmission(std::move(request), std::move(done));
    case serving::QuotaVerdict::kAwaitPeers: {
      const TimePoint give_up_at = MonotonicNow() + kMaxDeferral;
      return deferred_.push_back(
          {std::move(request), std::move(done), give_up_at});
    }
    case serving::QuotaVerdict::kOverLimit:
      RecordRejection(request, SubmitOutcome::kOverQuota, "quota");
      return done(SubmitOutcome::kOverQuota);
  }
}

void JobWriter::OnAcknowledged(uint64_t number, TimePoint now) {
  quota_.OnAcknowledged(number, now);
  for (auto waiting = std::exchange(deferred_, {}); !waiting.empty();
       waiting.pop_front()) {
    DeferredSubmission& deferred = waiting.front();
    const auto verdict = CheckQuota(deferred.request);
    if (verdict == serving::QuotaVerdict::kAccept) {
      StartSubmission(std::move(deferred.request), std::move(deferred.done));
    } else if (verdict == serving::QuotaVerdict::kAwaitPeers &&
               now < deferred.give_up_at) {
      deferred_.push_back(std::move(deferred));
    } else {
      RecordRejection(deferred.request, SubmitOutcome::kOverQuota,
                      "quota_unacknowledged");
      deferred.done(SubmitOutcome::kOverQuota);
    }
  }
}

void JobWriter::StartSubmission(Request&& request, SubmitCallback done) {
  if (request.max_waiting_tokens != 0) {
    quota_.Reserve(request.job, request.scope(), request.tokens);
  }
  request.record.configuration = callbacks_.newest_configuration();
  const cluster::HolderPair holders = callbacks_.choose_holders(request.job);
  if (!holders.second.empty()) {
    request.record.creator = holders.owner;
    request.record.second = holders.second;
  }
  const SubmissionId id = ++last_submission_;
  Submission& submission = submissions_[id];
  submission.give_up_at = request.arrived_at + kSubmitTimeout;
  submission.request = std::move(request);
  submission.done = std::move(done);
  Write(id);
}

void JobWriter::Write(SubmissionId id) {
  const Request& request = submissions_.at(id).request;
  store_.CallDirectOrRelayed(
      platform::WriteRequest{.kind = kinds_.KindOfJob(request.job),
                             .name = JobName(request.job),
                             .if_version = 0,
                             .value = EncodeJob(request.record)},
      MonotonicNow() + kWriteTimeout,
      [this, id](StoreAnswer&& answer) { OnWritten(id, std::move(answer)); });
}

void JobWriter::OnWritten(SubmissionId id, StoreAnswer&& answer) {
  Submission& submission = submissions_.at(id);
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      return Accept(id, EncodeJob(submission.request.record));
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      submission.maybe_written = true;
      return ReadBack(id);
    default:
      break;
  }
  if (submission.maybe_written) return RetryWrite(id);
  // A rejected call may be the first sign that the store is unreachable from
  // here; the next write may be relayed through a peer that still reaches it.
  if (++submission.rejected_writes < kMaxRejectedWrites && store_.reachable()) {
    return Write(id);
  }
  FinishUnaccepted(id, SubmitOutcome::kUnavailable, NameOf(answer.outcome));
}

// The record may have been written by a peer that received the job first. That
// peer runs the job, so its record is used and not this gateway's.
void JobWriter::ReadBack(SubmissionId id) {
  store_.CallDirectOrRelayed(
      platform::ReadRequest{
          .kind = kinds_.KindOfJob(submissions_.at(id).request.job),
          .name = JobName(submissions_.at(id).request.job)},
      MonotonicNow() + kReadTimeout, [this, id](StoreAnswer&& answer) {
        if (answer.outcome != StoreOutcome::kOk || answer.objects.empty()) {
          return RetryWrite(id);
        }
        Accept(id, answer.objects.front().value);
      });
}

// Writing again is safe: the record is created only once, by the first write
// that takes effect.
void JobWriter::RetryWrite(SubmissionId id) {
  const Submission& submission = submissions_.at(id);
  if (MonotonicNow() >= submission.give_up_at || !store_.reachable()) {
    return FinishUnaccepted(id, SubmitOutcome::kUnknown, "no_answer");
  }
  Write(id);
}

void JobWriter::Accept(SubmissionId id, const std::string& value) {
  auto node = submissions_.extract(id);
  const Request& request = node.mapped().request;
  const TimePoint now = MonotonicNow();
  LogInfo("job_accepted", {{"job", request.job},
                           {"configuration", request.record.configuration},
                           {"tokens", request.tokens},
                           {"all_job_bytes", jobs_.bytes()},
                           {"age_ms", ToMillis(now - request.arrived_at)}});
  metrics_.Add("knap_jobs_total",
               {std::string(NameOf(SubmitOutcome::kAccepted))});
  if (!jobs_.Find(request.job)) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(job, DecodeJob(request.job, value, now,
                                         WallClockNanos() / kNanosPerMilli));
          jobs_.AddJob(std::move(job));
          return {};
        },
        [&](const Error& error) {
          LogError("job_undecodable",
                   {{"job", request.job}, {"reason", error.message}});
        },
        [] {});
  }
  node.mapped().done(SubmitOutcome::kAccepted);
  quota_.OnRecordWritten(
      request.job, callbacks_.record_written({JobName(request.job), value}));
  callbacks_.job_changed(request.job);
}

void JobWriter::FinishUnaccepted(SubmissionId id, SubmitOutcome outcome,
                                 std::string_view cause) {
  auto node = submissions_.extract(id);
  const std::string& job = node.mapped().request.job;
  if (outcome == SubmitOutcome::kUnknown) {
    quota_.OnWriteUncertain(job, MonotonicNow() + kMaxStoreReadInterval);
  } else {
    quota_.Release(job);
  }
  RecordRejection(node.mapped().request, outcome, cause);
  node.mapped().done(outcome);
}

void JobWriter::End(const std::string& job, TimePoint give_up_at,
                    EndCallback done) {
  const serving::BatchJob* known = jobs_.Find(job);
  if (known && known->ended) return done(EndOutcome::kEnded);
  if (!known) {
    // If the job exists, the watch of the store delivers it shortly; if the
    // read failed, its existence is unknown. In both cases the caller should
    // retry.
    return store_.CallDirectOrRelayed(
        platform::ReadRequest{.kind = kinds_.KindOfJob(job),
                              .name = JobName(job)},
        MonotonicNow() + kReadTimeout,
        [done = std::move(done)](StoreAnswer&& answer) {
          done(answer.outcome == StoreOutcome::kNotFound
                   ? EndOutcome::kNotFound
                   : EndOutcome::kUnavailable);
        });
  }
  store_.CallDirectOrRelayed(
      platform::WriteRequest{.kind = kinds_.KindOfJob(job),
                             .name = EndName(job),
                             .if_version = 0,
                             .value = "{}"},
      std::min(give_up_at, MonotonicNow() + kWriteTimeout),
      [this, job, give_up_at, done = std::move(done)](StoreAnswer&& answer) {
        OnEndWritten(job, give_up_at, done, answer);
      });
}

void JobWriter::OnEndWritten(const std::string& job, TimePoint give_up_at,
                             EndCallback done, const StoreAnswer& answer) {
  const bool written = answer.outcome == StoreOutcome::kOk ||
                       answer.outcome == StoreOutcome::kConflict;
  if (written) {
    LogInfo("job_ended", {{"job", job}});
    callbacks_.record_written({EndName(job), "{}"});
    jobs_.EndJob(job);
    done(EndOutcome::kEnded);
    return callbacks_.job_changed(job);
  }
  const bool retry =
      answer.outcome == StoreOutcome::kUnknown && MonotonicNow() < give_up_at;
  if (retry) return End(job, give_up_at, std::move(done));
  LogWarning("job_end_failed",
             {{"job", job}, {"outcome", NameOf(answer.outcome)}});
  done(EndOutcome::kUnavailable);
}

}  // namespace knapweedstile::gateway
