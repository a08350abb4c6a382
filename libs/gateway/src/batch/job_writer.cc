#include "batch/job_writer.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/record_kinds.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;

// A slow store takes a quarter of a second; an answer that takes longer than
// this is taken for lost, and the record is read back.
constexpr std::chrono::milliseconds kWriteTimeout{700};
// Callers wait four seconds; after that nobody hears the answer.
constexpr std::chrono::milliseconds kSubmitTimeout{3000};
constexpr std::chrono::milliseconds kReadTimeout{800};
// Others acknowledge records within some 20 ms. A job that would go beyond this
// entry's share waits for that, shorter than callers expect their answer in.
constexpr std::chrono::milliseconds kLongestHold{250};
// Every entry reads the store at least this often (the pause of the records'
// mirrors, and the time of a read).
constexpr std::chrono::seconds kKnownEverywhere{65};
constexpr uint32_t kMostRefusedWrites = 3;
// Largest record: the store's limit on a value, with room for escapes.
constexpr size_t kMaxRecordBytes = 1000000;
constexpr int64_t kNanosPerMilli = 1000000;

}  // namespace

JobWriter::JobWriter(StoreCalls& store, const RecordKinds& kinds,
                     serving::JobTable& book, observe::Metrics& metrics,
                     Callbacks ports)
    : store_(store),
      kinds_(kinds),
      jobs_(book),
      metrics_(metrics),
      callbacks_(std::move(ports)) {}

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
  // Failure guarded against: an entry that wakes from a pause, or was cut off,
  // knows less than what waits, and would give away what others have taken. An
  // entry that nobody hears may take jobs as well; that matters only in the
  // upper half of the limit, since two sides that do not hear each other reach
  // the limit together there at the earliest.
  const bool upper_half =
      2 * (waiting + request.tokens) > request.max_waiting_tokens;
  const bool known = upper_half ? callbacks_.has_all_records()
                                : callbacks_.has_live_peer_records();
  if (known || verdict == serving::QuotaVerdict::kOverLimit) return verdict;
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
  // The same job again: its caller did not hear that it was accepted.
  if (jobs_.Find(request.job)) return done(SubmitOutcome::kAccepted);
  if (EncodeJob(request.record).size() > kMaxRecordBytes) {
    RecordRejection(request, SubmitOutcome::kTooLarge, "record_bytes");
    return done(SubmitOutcome::kTooLarge);
  }
  if (request.max_waiting_tokens != 0) {
    // Cells do not know each other's jobs: each keeps to its part of the limit.
    const auto limit = static_cast<double>(request.max_waiting_tokens);
    request.max_waiting_tokens = std::max<uint64_t>(
        1, static_cast<uint64_t>(limit * callbacks_.shard_share()));
  }
  if (!store_.reachable()) {
    RecordRejection(request, SubmitOutcome::kUnavailable, "store_unavailable");
    return done(SubmitOutcome::kUnavailable);
  }
  switch (CheckQuota(request)) {
    case serving::QuotaVerdict::kAccept:
      return StartSubmission(std::move(request), std::move(done));
    case serving::QuotaVerdict::kAwaitPeers: {
      const TimePoint give_up_at = MonotonicNow() + kLongestHold;
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
    DeferredSubmission& held = waiting.front();
    const auto verdict = CheckQuota(held.request);
    if (verdict == serving::QuotaVerdict::kAccept) {
      StartSubmission(std::move(held.request), std::move(held.done));
    } else if (verdict == serving::QuotaVerdict::kAwaitPeers &&
               now < held.give_up_at) {
      deferred_.push_back(std::move(held));
    } else {
      RecordRejection(held.request, SubmitOutcome::kOverQuota,
                      "quota_unacknowledged");
      held.done(SubmitOutcome::kOverQuota);
    }
  }
}

void JobWriter::StartSubmission(Request&& request, SubmitCallback done) {
  if (request.max_waiting_tokens != 0) {
    quota_.Reserve(request.job, request.scope(), request.tokens);
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
  // The first call that the store turns away shows that it does; another entry
  // may still reach it.
  if (++submission.rejected_writes < kMostRefusedWrites && store_.reachable()) {
    return Write(id);
  }
  FinishUnaccepted(id, SubmitOutcome::kUnavailable, NameOf(answer.outcome));
}

// The record may be another entry's, to which the job came first: that one runs
// the job, so its record counts, not the one that was to be written here.
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

// Writing again is harmless: the record is created once, whichever write is the
// first to take effect.
void JobWriter::RetryWrite(SubmissionId id) {
  const Submission& submission = submissions_.at(id);
  if (MonotonicNow() >= submission.give_up_at || !store_.reachable()) {
    return FinishUnaccepted(id, SubmitOutcome::kUnknown, "no_answer");
  }
  Write(id);
}

void JobWriter::Accept(SubmissionId id, const std::string& value) {
  auto taken = submissions_.extract(id);
  const Request& request = taken.mapped().request;
  const TimePoint now = MonotonicNow();
  LogInfo("job_accepted", {{"job", request.job},
                           {"tokens", request.tokens},
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
  taken.mapped().done(SubmitOutcome::kAccepted);
  quota_.OnRecordWritten(
      request.job, callbacks_.record_written({JobName(request.job), value}));
  callbacks_.job_changed(request.job);
}

void JobWriter::FinishUnaccepted(SubmissionId id, SubmitOutcome outcome,
                                 std::string_view cause) {
  auto taken = submissions_.extract(id);
  const std::string& job = taken.mapped().request.job;
  if (outcome == SubmitOutcome::kUnknown) {
    quota_.OnWriteUncertain(job, MonotonicNow() + kKnownEverywhere);
  } else {
    quota_.Release(job);
  }
  RecordRejection(taken.mapped().request, outcome, cause);
  taken.mapped().done(outcome);
}

void JobWriter::End(const std::string& job, TimePoint give_up_at,
                    EndCallback done) {
  const serving::BatchJob* known = jobs_.Find(job);
  if (known && known->ended) return done(EndOutcome::kEnded);
  if (!known) {
    // Known to exist or not known at all: the watch brings it in a moment.
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
  const bool again =
      answer.outcome == StoreOutcome::kUnknown && MonotonicNow() < give_up_at;
  if (again) return End(job, give_up_at, std::move(done));
  LogWarning("job_end_failed",
             {{"job", job}, {"outcome", NameOf(answer.outcome)}});
  done(EndOutcome::kUnavailable);
}

}  // namespace knapweedstile::gateway
