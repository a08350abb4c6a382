#include "batch_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "platform/store_request.h"
#include "store_calls.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;
using users_platform::BatchCall;
using users_platform::BatchOperation;

// A slow store takes a quarter of a second; an answer that takes longer than
// this is taken for lost, and the record is read back.
constexpr std::chrono::milliseconds kWriteTimeout{700};
// Callers wait four seconds; after that nobody hears the answer.
constexpr std::chrono::milliseconds kSubmitTimeout{3000};
constexpr std::chrono::milliseconds kEndTimeout{3500};
constexpr std::chrono::milliseconds kReadTimeout{800};
constexpr std::chrono::milliseconds kLongestWait{1000};
// While the store is away, about as long as an outage's rest.
constexpr std::chrono::milliseconds kOutageRetry{1000};
constexpr std::chrono::milliseconds kQuotaRetry{1000};
constexpr uint32_t kMostRefusedWrites = 3;
// Largest record: the store's limit on a value, with room for escapes.
constexpr size_t kMaxRecordBytes = 1000000;

constexpr int64_t kNanosPerMilli = 1000000;

constexpr char kJson[] = "application/json";
constexpr char kBytes[] = "application/octet-stream";

uint64_t TokensOf(const std::vector<serving::BatchItem>& items) {
  uint64_t tokens = 0;
  for (const serving::BatchItem& item : items) tokens += item.tokens;
  return tokens;
}

// The submission's items, or why it is not one.
Result<uint64_t> TokensOfText(std::string_view text) {
  BOOST_LEAF_AUTO(items, users_platform::ParseSubmission(text));
  return TokensOf(items);
}

}  // namespace

BatchApi::BatchApi(StoreCalls& store, serving::JobBook& book,
                   observe::Metrics& metrics, std::string own_name, Ports ports)
    : store_(store),
      book_(book),
      metrics_(metrics),
      own_name_(std::move(own_name)),
      ports_(std::move(ports)) {}

void BatchApi::Respond(ExchangeId caller, unsigned status, std::string body,
                       std::string_view type) {
  http::HeaderList headers;
  if (!type.empty()) headers.Add("Content-Type", std::string(type));
  ports_.to_caller(http::RespondCommand{.exchange = caller,
                                        .status = status,
                                        .headers = std::move(headers),
                                        .body = std::move(body)});
}

void BatchApi::RespondRetry(ExchangeId caller, unsigned status,
                            Duration retry_after) {
  http::HeaderList headers;
  headers.Add("Retry-After", fmt::format("{:.3f}", ToSeconds(retry_after)));
  ports_.to_caller(http::RespondCommand{
      .exchange = caller, .status = status, .headers = std::move(headers)});
}

bool BatchApi::FitsQuota(const serving::Route& route, uint64_t tokens) const {
  if (route.max_waiting_tokens == 0) return true;
  uint64_t waiting = book_.WaitingTokens(route.name);
  for (const auto& [id, submission] : submissions_) {
    if (submission.record.route == route.name) waiting += submission.tokens;
  }
  return waiting + tokens <= route.max_waiting_tokens;
}

void BatchApi::Submit(http::RequestEvent&& request,
                      const serving::Route& route) {
  const ExchangeId caller = request.exchange;
  const auto fields = users_platform::DecodeCaller(request.headers);
  const std::string& job = fields.request_id;
  if (request.method != "POST") return Respond(caller, 405);
  if (job.empty()) return Respond(caller, 400);
  // The same job again: its caller did not hear that it was accepted.
  if (book_.Find(job)) return Respond(caller, 202);
  const auto tokens = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<uint64_t>> {
        BOOST_LEAF_AUTO(count, TokensOfText(request.body));
        return std::optional<uint64_t>(count);
      },
      [&](const Error& error) {
        LogWarning("job_invalid", {{"job", job}, {"reason", error.message}});
        return std::optional<uint64_t>();
      },
      [] { return std::optional<uint64_t>(); });
  if (!tokens) return Respond(caller, 400);
  if (!store_.reachable()) {
    LogWarning("job_refused", {{"job", job}, {"cause", "store_unavailable"}});
    metrics_.Add("knap_jobs_total", {"refused"});
    return RespondRetry(caller, 503, kOutageRetry);
  }
  if (!FitsQuota(route, *tokens)) {
    LogWarning("job_refused", {{"job", job},
                               {"cause", "quota"},
                               {"tokens", *tokens},
                               {"waiting", book_.WaitingTokens(route.name)},
                               {"limit", route.max_waiting_tokens}});
    metrics_.Add("knap_jobs_total", {"over_quota"});
    return RespondRetry(caller, 429, kQuotaRetry);
  }
  const SubmissionId id = ++last_submission_;
  Submission& submission = submissions_[id];
  submission.job = job;
  submission.tokens = *tokens;
  submission.caller = caller;
  submission.arrived_at = request.received_at;
  submission.give_up_at = request.received_at + kSubmitTimeout;
  submission.record = {
      .creator = own_name_,
      .host = fields.host,
      .route = route.name,
      .accepted_wall_millis = WallClockNanos() / kNanosPerMilli,
      .completion_millis = route.completion_objective.count(),
      .ttl_millis = route.item_ttl.count(),
      .submission = std::move(request.body)};
  Write(id);
}

void BatchApi::Write(SubmissionId id) {
  const Submission& submission = submissions_.at(id);
  std::string value = EncodeJob(submission.record);
  if (value.size() > kMaxRecordBytes) {
    Respond(submission.caller, 413);
    submissions_.erase(id);
    return;
  }
  store_.CallAnyWay(
      platform::WriteRequest{.kind = kOwnKind,
                             .name = JobName(submission.job),
                             .if_version = 0,
                             .value = std::move(value)},
      MonotonicNow() + kWriteTimeout,
      [this, id](StoreAnswer&& answer) { OnWritten(id, std::move(answer)); });
}

void BatchApi::OnWritten(SubmissionId id, StoreAnswer&& answer) {
  Submission& submission = submissions_.at(id);
  switch (answer.outcome) {
    case StoreOutcome::kOk:
      return Accept(id, EncodeJob(submission.record));
    case StoreOutcome::kConflict:
    case StoreOutcome::kUnknown:
      submission.maybe_written = true;
      return ReadBack(id);
    default:
      break;
  }
  if (submission.maybe_written) return WriteAgain(id);
  // The first call that the store turns away shows that it does; another entry
  // may still reach it.
  if (++submission.refused_writes < kMostRefusedWrites && store_.reachable()) {
    return Write(id);
  }
  RefuseSubmission(id, NameOf(answer.outcome));
}

// The record may be another entry's, to which the job came first: that one runs
// the job, so its record counts, not the one that was to be written here.
void BatchApi::ReadBack(SubmissionId id) {
  store_.CallAnyWay(
      platform::ReadRequest{.kind = kOwnKind,
                            .name = JobName(submissions_.at(id).job)},
      MonotonicNow() + kReadTimeout, [this, id](StoreAnswer&& answer) {
        if (answer.outcome != StoreOutcome::kOk || answer.objects.empty()) {
          return WriteAgain(id);
        }
        Accept(id, answer.objects.front().value);
      });
}

// Writing again is harmless: the record is created once, whichever write is the
// first to take effect.
void BatchApi::WriteAgain(SubmissionId id) {
  const Submission& submission = submissions_.at(id);
  if (MonotonicNow() >= submission.give_up_at || !store_.reachable()) {
    return GiveUpSubmission(id);
  }
  Write(id);
}

void BatchApi::Accept(SubmissionId id, const std::string& value) {
  auto taken = submissions_.extract(id);
  Submission& submission = taken.mapped();
  const TimePoint now = MonotonicNow();
  LogInfo("job_accepted", {{"job", submission.job},
                           {"tokens", submission.tokens},
                           {"age_ms", ToMillis(now - submission.arrived_at)}});
  metrics_.Add("knap_jobs_total", {"accepted"});
  if (!book_.Find(submission.job)) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(job, DecodeJob(submission.job, value, now,
                                         WallClockNanos() / kNanosPerMilli));
          book_.AddJob(std::move(job));
          return {};
        },
        [&](const Error& error) {
          LogError("job_undecodable",
                   {{"job", submission.job}, {"reason", error.message}});
        },
        [] {});
  }
  Respond(submission.caller, 202);
  ports_.written({JobName(submission.job), value});
  ports_.book_changed();
}

void BatchApi::RefuseSubmission(SubmissionId id, std::string_view cause) {
  auto taken = submissions_.extract(id);
  LogWarning("job_refused", {{"job", taken.mapped().job}, {"cause", cause}});
  metrics_.Add("knap_jobs_total", {"refused"});
  RespondRetry(taken.mapped().caller, 503, kOutageRetry);
}

void BatchApi::GiveUpSubmission(SubmissionId id) {
  auto taken = submissions_.extract(id);
  LogWarning("job_outcome_unknown", {{"job", taken.mapped().job}});
  metrics_.Add("knap_jobs_total", {"unknown"});
  Respond(taken.mapped().caller, 504);
}

void BatchApi::Call(http::RequestEvent&& request, const BatchCall& call) {
  if (call.operation == BatchOperation::kEnd) {
    return End(request.exchange, call.job, request.received_at + kEndTimeout);
  }
  Serve(request.exchange, call);
}

void BatchApi::Serve(ExchangeId caller, const BatchCall& call) {
  const serving::BatchJob* job = book_.Find(call.job);
  if (!job) return Fetch(caller, call);
  if (call.operation == BatchOperation::kRead) {
    return ServeRead(caller, call, *job);
  }
  ServeBody(caller, call, *job);
}

void BatchApi::ServeRead(ExchangeId caller, const BatchCall& call,
                         const serving::BatchJob& job) {
  const Duration wait = std::min<Duration>(call.wait, kLongestWait);
  const Read read{.caller = caller,
                  .position = call.position,
                  .answer_at = MonotonicNow() + wait};
  const bool has_result = job.results.size() > call.position;
  // Nothing more will come: waiting would only delay the reader.
  const bool final = !job.open() && call.position <= job.results.size();
  if (has_result || final || wait.count() == 0) return AnswerRead(read, job);
  reads_.emplace(call.job, read);
}

void BatchApi::AnswerRead(const Read& read, const serving::BatchJob& job) {
  // The reader was given more than is known here, or may have been: another
  // entry is ahead.
  const bool nothing_new = read.position >= job.results.size() && job.open();
  if (read.position > job.results.size() ||
      (nothing_new && !ports_.current())) {
    return RespondRetry(read.caller, 503, std::chrono::milliseconds(200));
  }
  Respond(read.caller, 200, users_platform::RenderResults(job, read.position),
          kJson);
}

void BatchApi::ServeBody(ExchangeId caller, const BatchCall& call,
                         const serving::BatchJob& job) {
  const auto index = job.item_index.find(call.item);
  if (job.ended || index == job.item_index.end()) return Respond(caller, 404);
  Respond(caller, 200, job.items[index->second].body, kBytes);
}

void BatchApi::Fetch(ExchangeId caller, const BatchCall& call) {
  store_.CallAnyWay(
      platform::ReadRequest{.kind = kOwnKind, .name = JobName(call.job)},
      MonotonicNow() + kReadTimeout,
      [this, caller, call](StoreAnswer&& answer) {
        if (answer.outcome == StoreOutcome::kNotFound) {
          return Respond(caller, 404);
        }
        // Known to exist or not known at all: the watch brings it in a moment.
        RespondRetry(caller, 503, std::chrono::milliseconds(200));
      });
}

void BatchApi::End(ExchangeId caller, const std::string& job,
                   TimePoint give_up_at) {
  const serving::BatchJob* known = book_.Find(job);
  if (!known) {
    return Fetch(caller, {.operation = BatchOperation::kEnd, .job = job});
  }
  if (known->ended) return Respond(caller, 200);
  store_.CallAnyWay(
      platform::WriteRequest{.kind = kOwnKind,
                             .name = EndName(job),
                             .if_version = 0,
                             .value = "{}"},
      std::min(give_up_at, MonotonicNow() + kWriteTimeout),
      [this, caller, job, give_up_at](StoreAnswer&& answer) {
        const bool written = answer.outcome == StoreOutcome::kOk ||
                             answer.outcome == StoreOutcome::kConflict;
        if (written) {
          LogInfo("job_ended", {{"job", job}});
          ports_.written({EndName(job), "{}"});
          book_.EndJob(job);
          Respond(caller, 200);
          OnProgress(job);
          return ports_.book_changed();
        }
        const bool again = answer.outcome == StoreOutcome::kUnknown &&
                           MonotonicNow() < give_up_at;
        if (again) return End(caller, job, give_up_at);
        LogWarning("job_end_failed",
                   {{"job", job}, {"outcome", NameOf(answer.outcome)}});
        RespondRetry(caller, 503, std::chrono::milliseconds(300));
      });
}

void BatchApi::OnProgress(const std::string& id) {
  const serving::BatchJob* job = book_.Find(id);
  if (!job) return;
  std::vector<Read> ready;
  const auto [begin, end] = reads_.equal_range(id);
  for (auto at = begin; at != end;) {
    if (job->results.size() > at->second.position || !job->open()) {
      ready.push_back(at->second);
      at = reads_.erase(at);
    } else {
      ++at;
    }
  }
  for (const Read& read : ready) AnswerRead(read, *job);
}

void BatchApi::Expire(TimePoint now) {
  std::vector<std::pair<std::string, Read>> over;
  std::erase_if(reads_, [&](const auto& entry) {
    if (entry.second.answer_at > now) return false;
    over.push_back(entry);
    return true;
  });
  for (const auto& [id, read] : over) {
    if (const serving::BatchJob* job = book_.Find(id)) AnswerRead(read, *job);
  }
}

void BatchApi::OnCallerGone(ExchangeId caller) {
  std::erase_if(reads_, [caller](const auto& entry) {
    return entry.second.caller == caller;
  });
}

}  // namespace knapweedstile::gateway
