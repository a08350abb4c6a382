#include "batch/batch_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_forwarder.h"
#include "batch/record_kinds.h"
#include "platform/store_request.h"
#include "store/store_calls.h"
#include "users_platform/request_headers.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;
using users_platform::BatchCall;
using users_platform::BatchOperation;

constexpr std::chrono::milliseconds kEndTimeout{3500};
constexpr std::chrono::milliseconds kReadTimeout{800};
constexpr std::chrono::milliseconds kMaxReadWait{1000};
// While the store is unavailable; about the remaining time of a typical outage.
constexpr std::chrono::milliseconds kOutageRetry{1000};
constexpr std::chrono::milliseconds kQuotaRetry{1000};
constexpr std::chrono::milliseconds kEndRetry{300};
constexpr std::chrono::milliseconds kReadRetry{200};

constexpr char kJson[] = "application/json";
constexpr char kBytes[] = "application/octet-stream";

// At most the largest number: a sum that wraps around would be within any
// quota.
uint64_t TokensOf(const std::vector<serving::BatchItem>& items) {
  constexpr uint64_t kMax = std::numeric_limits<uint64_t>::max();
  uint64_t tokens = 0;
  for (const serving::BatchItem& item : items) {
    tokens += std::min(item.tokens, kMax - tokens);
  }
  return tokens;
}

// A job without a workspace is accessible to all callers.
bool CanUse(const serving::BatchJob& job, const CallerIdentity& caller) {
  return job.workspace.empty() || job.workspace == caller.workspace;
}

}  // namespace

BatchApi::BatchApi(StoreCalls& store, const RecordKinds& kinds,
                   serving::JobTable& jobs, JobWriter& writer,
                   std::string own_name, size_t max_store_reads,
                   Callbacks callbacks)
    : store_(store),
      kinds_(kinds),
      jobs_(jobs),
      writer_(writer),
      own_name_(std::move(own_name)),
      callbacks_(std::move(callbacks)),
      max_store_reads_(max_store_reads) {}

void BatchApi::Respond(ExchangeId caller, unsigned status, std::string body,
                       std::string_view type) {
  http::HeaderList headers;
  if (!type.empty()) headers.Add("Content-Type", std::string(type));
  callbacks_.to_caller(http::RespondCommand{.exchange = caller,
                                            .status = status,
                                            .headers = std::move(headers),
                                            .body = std::move(body)});
}

void BatchApi::RespondRetry(ExchangeId caller, unsigned status,
                            Duration retry_after) {
  http::HeaderList headers;
  headers.Add("Retry-After", fmt::format("{:.3f}", ToSeconds(retry_after)));
  callbacks_.to_caller(http::RespondCommand{
      .exchange = caller, .status = status, .headers = std::move(headers)});
}

std::string BatchApi::KeyOf(std::string_view id,
                            const CallerIdentity& caller) const {
  std::string key = JobKey(caller.workspace, id);
  if (jobs_.Find(key)) return key;
  // A job that was submitted without a workspace is accessible to all callers.
  const serving::BatchJob* public_job = jobs_.Find(id);
  return public_job && public_job->workspace.empty() ? std::string(id) : key;
}

void BatchApi::Submit(http::RequestEvent&& request, const serving::Route& route,
                      const CallerIdentity& identity) {
  const ExchangeId caller = request.exchange;
  if (request.method != "POST") return Respond(caller, 405);
  // The job id must come from the caller: an id generated here would differ
  // when the job is submitted again.
  if (identity.own_interface) return Respond(caller, 400);
  const std::string job = KeyOf(identity.request_id, identity);
  if (const serving::BatchJob* known = jobs_.Find(job)) {
    // A resubmission: the caller did not receive the acceptance.
    return Respond(caller, CanUse(*known, identity) ? 202 : 409);
  }
  const auto items = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::vector<serving::BatchItem>> {
        BOOST_LEAF_AUTO(
            parsed, users_platform::ParseSubmission(
                        request.body, users_platform::kMaxItemsPerSubmission));
        if (const auto* repeated = serving::FindRepeated(parsed)) {
          return Fail(ErrorCode::kInvalid,
                      fmt::format("two items have the id '{}'", repeated->id));
        }
        if (const auto* unsendable = serving::FindUnsendable(parsed)) {
          return Fail(ErrorCode::kInvalid,
                      fmt::format("item '{}' can't be sent: its id, path or a "
                                  "header field is too long or contains "
                                  "invalid characters",
                                  unsendable->id));
        }
        return parsed;
      },
      [&](const Error& error) {
        LogWarning("job_invalid", {{"job", job}, {"reason", error.message}});
        return std::vector<serving::BatchItem>();
      },
      [] { return std::vector<serving::BatchItem>(); });
  if (items.empty()) return Respond(caller, 400);
  // The submission is serialized again because the caller's text may contain
  // API keys in the items' headers.
  writer_.Submit(
      {.job = job,
       .record =
           NewJobRecord(own_name_, identity.host, route, identity.workspace,
                        users_platform::RenderSubmission(items)),
       .tokens = TokensOf(items),
       .max_waiting_tokens = route.max_waiting_tokens,
       .arrived_at = request.received_at},
      [this, caller](SubmitOutcome outcome) { OnSubmitted(caller, outcome); });
}

void BatchApi::OnSubmitted(ExchangeId caller, SubmitOutcome outcome) {
  switch (outcome) {
    case SubmitOutcome::kAccepted:
      return Respond(caller, 202);
    case SubmitOutcome::kOverQuota:
      return RespondRetry(caller, 429, kQuotaRetry);
    case SubmitOutcome::kUnavailable:
      return RespondRetry(caller, 503, kOutageRetry);
    case SubmitOutcome::kTooLarge:
      return Respond(caller, 413);
    case SubmitOutcome::kUnknown:
      return Respond(caller, 504);
  }
}

void BatchApi::Call(http::RequestEvent&& request, const BatchCall& call,
                    const CallerIdentity& identity) {
  const std::string job = KeyOf(call.job, identity);
  const serving::BatchJob* known = jobs_.Find(job);
  if (known && !CanUse(*known, identity)) return Respond(request.exchange, 404);
  if (call.operation == BatchOperation::kEndJob) {
    return End(request.exchange, job, request.received_at + kEndTimeout);
  }
  Serve(std::make_shared<const JobCall>(JobCall{std::move(request), identity}),
        job, call);
}

void BatchApi::Serve(const CallPointer& call, const std::string& job,
                     const BatchCall& operation) {
  const serving::BatchJob* known = jobs_.Find(job);
  // The sender knows the job; this gateway's records are behind.
  if (!known && call->caller.sent_to_holder) {
    return Respond(call->request.exchange, JobForwarder::kMisdirected);
  }
  if (!known) return RespondUnknownJob(call->request.exchange, job);
  if (operation.operation == BatchOperation::kRead) {
    return ServeRead(call, operation, *known);
  }
  ServeBody(call, operation, *known);
}

void BatchApi::ServeRead(const CallPointer& call, const BatchCall& operation,
                         const serving::BatchJob& job) {
  const Duration wait = std::min<Duration>(operation.wait, kMaxReadWait);
  const PendingRead read{.caller = call->request.exchange,
                         .call = call,
                         .position = operation.position,
                         .respond_at = MonotonicNow() + wait};
  const bool has_result = job.results.size() > read.position;
  // The sender knows of a result that this gateway does not have yet.
  if (call->caller.sent_to_holder && !has_result) {
    return Respond(read.caller, JobForwarder::kMisdirected);
  }
  // No more results will follow, so waiting would only delay the reader.
  const bool final = !job.open() && read.position <= job.results.size();
  if (has_result || final || wait.count() == 0) return RespondRead(read, job);
  pending_reads_.emplace(job.id, read);
}

void BatchApi::RespondRead(const PendingRead& read,
                           const serving::BatchJob& job) {
  // The reader has received, or may have received, more results than this
  // gateway knows: a peer has newer records.
  const bool nothing_new =
      read.position >= job.results.size() && !job.complete();
  if (read.position > job.results.size() ||
      (nothing_new && !callbacks_.has_all_records())) {
    return RespondRetry(read.caller, 503, kReadRetry);
  }
  if (job.MissingSegment(read.position)) return ReadOutputs(read, job.id);
  Respond(read.caller, 200, users_platform::RenderResults(job, read.position),
          kJson);
}

void BatchApi::ReadOutputs(const PendingRead& read, const std::string& job) {
  const auto missing = [position = read.position](const serving::BatchJob& j) {
    const auto segment = j.MissingSegment(position);
    return segment ? std::optional(SegmentName(j.id, *segment)) : std::nullopt;
  };
  callbacks_.serve_from_holder(
      read.call, job, missing, [this, read, job](bool complete) {
        const serving::BatchJob* known = jobs_.Find(job);
        if (!complete || !known) {
          return RespondRetry(read.caller, 503, kReadRetry);
        }
        RespondRead(read, *known);
      });
}

void BatchApi::ServeBody(const CallPointer& call, const BatchCall& operation,
                         const serving::BatchJob& job) {
  const ExchangeId caller = call->request.exchange;
  const auto index = job.item_index.find(operation.item);
  if (job.ended || index == job.item_index.end()) return Respond(caller, 404);
  if (!job.has_bodies) return ReadBody(call, operation, job.id);
  Respond(caller, 200, job.items[index->second].body, kBytes);
}

void BatchApi::ReadBody(const CallPointer& call, const BatchCall& operation,
                        const std::string& job) {
  const auto missing = [](const serving::BatchJob& j) {
    return j.has_bodies ? std::nullopt : std::optional(JobName(j.id));
  };
  callbacks_.serve_from_holder(
      call, job, missing, [this, call, operation, job](bool complete) {
        const serving::BatchJob* known = jobs_.Find(job);
        if (!complete || !known) {
          return RespondRetry(call->request.exchange, 503, kReadRetry);
        }
        ServeBody(call, operation, *known);
      });
}

void BatchApi::RespondUnknownJob(ExchangeId caller, const std::string& job) {
  if (store_reads_ >= max_store_reads_) {
    LogWarning("unknown_job_not_read", {{"job", job}, {"reads", store_reads_}});
    return RespondRetry(caller, 503, kReadRetry);
  }
  ++store_reads_;
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = kinds_.KindOfJob(job),
                            .name = JobName(job)},
      MonotonicNow() + kReadTimeout, [this, caller](StoreAnswer&& answer) {
        --store_reads_;
        if (answer.outcome == StoreOutcome::kNotFound) {
          return Respond(caller, 404);
        }
        // If the job exists, the watch of the store delivers it shortly; if the
        // read failed, its existence is unknown. In both cases the caller
        // should retry.
        RespondRetry(caller, 503, kReadRetry);
      });
}

void BatchApi::End(ExchangeId caller, const std::string& job,
                   TimePoint give_up_at) {
  if (!jobs_.Find(job)) return RespondUnknownJob(caller, job);
  writer_.End(job, give_up_at, [this, caller](EndOutcome outcome) {
    switch (outcome) {
      case EndOutcome::kEnded:
        return Respond(caller, 200);
      case EndOutcome::kNotFound:
        return Respond(caller, 404);
      case EndOutcome::kUnavailable:
        return RespondRetry(caller, 503, kEndRetry);
    }
  });
}

void BatchApi::OnProgress(const std::string& id) {
  const serving::BatchJob* job = jobs_.Find(id);
  if (!job) return;
  std::vector<PendingRead> ready;
  const auto [begin, end] = pending_reads_.equal_range(id);
  for (auto at = begin; at != end;) {
    if (job->results.size() > at->second.position || !job->open()) {
      ready.push_back(at->second);
      at = pending_reads_.erase(at);
    } else {
      ++at;
    }
  }
  for (const PendingRead& read : ready) RespondRead(read, *job);
}

void BatchApi::Expire(TimePoint now) {
  std::vector<std::pair<std::string, PendingRead>> expired;
  std::erase_if(pending_reads_, [&](const auto& pending) {
    if (pending.second.respond_at > now) return false;
    expired.push_back(pending);
    return true;
  });
  for (const auto& [id, read] : expired) {
    if (const serving::BatchJob* job = jobs_.Find(id)) RespondRead(read, *job);
  }
}

void BatchApi::OnCallerDisconnected(ExchangeId caller) {
  std::erase_if(pending_reads_, [caller](const auto& pending) {
    return pending.second.caller == caller;
  });
}

}  // namespace knapweedstile::gateway
