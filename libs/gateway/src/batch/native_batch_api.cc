#include "batch/native_batch_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/url.hpp>
#include <cstdlib>
#include <optional>
#include <utility>
#include <vector>

#include "base/bounded_json.h"
#include "base/error.h"
#include "base/hash.h"
#include "batch/job_forwarder.h"
#include "batch/job_records.h"
#include "callers/error_response.h"
#include "users_platform/batch_calls.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;
using serving::BatchItem;
using serving::BatchJob;

constexpr char kPath[] = "/v1/batches";
// The route of this path on the caller's host determines the settings and quota
// of these jobs.
constexpr char kRoutePath[] = "/v1/batches/";
constexpr char kDefaultTarget[] = "/v1/completions";
// Keeps a job's record below a megabyte; larger files must be split into
// several jobs.
constexpr size_t kMaxItems = 2000;
constexpr size_t kMaxResults = 1000;  // per page
// A page ends with the result that reaches this size.
constexpr size_t kMaxPageBytes = 1 << 20;
constexpr uint64_t kDefaultMaxTokens = 16;  // if an item has no max_tokens
constexpr std::chrono::milliseconds kRetry{1000};
constexpr std::chrono::milliseconds kCancelTimeout{3500};

uint64_t TokensOf(const json::object& body, std::string_view text) {
  const json::value* max_tokens = body.if_contains("max_tokens");
  const uint64_t output_tokens =
      max_tokens && max_tokens->is_int64() && max_tokens->get_int64() > 0
          ? static_cast<uint64_t>(max_tokens->get_int64())
          : kDefaultMaxTokens;
  // Estimates four bytes per token of text.
  return output_tokens + text.size() / 4;
}

Result<BatchItem> ParseLine(std::string_view job, std::string_view line) {
  const std::optional<json::value> parsed = ParseBoundedJson(line);
  const json::object* object = parsed ? parsed->if_object() : nullptr;
  const json::value* id = object ? object->if_contains("custom_id") : nullptr;
  const json::value* body = object ? object->if_contains("body") : nullptr;
  if (!id || !id->is_string() || !body || !body->is_object()) {
    return Fail(
        ErrorCode::kInvalid,
        "each line must be a JSON object with \"custom_id\" and \"body\"");
  }
  json::object request = body->get_object();
  // Results are assembled from the events of the stream.
  request["stream"] = true;
  const json::value* url = object->if_contains("url");
  BatchItem item;
  // Backend servers identify requests by id, so the id includes the job.
  item.id = fmt::format("{}-{}", job, id->get_string().c_str());
  item.target =
      url && url->is_string() ? std::string(url->get_string()) : kDefaultTarget;
  item.headers.Add("Content-Type", "application/json");
  item.body = json::serialize(request);
  item.tokens = TokensOf(request, item.body);
  return item;
}

Result<std::vector<BatchItem>> ParseLines(std::string_view job,
                                          std::string_view text) {
  std::vector<BatchItem> items;
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty()) continue;
    BOOST_LEAF_AUTO(item, ParseLine(job, line));
    items.push_back(std::move(item));
  }
  if (items.empty() || items.size() > kMaxItems) {
    return Fail(ErrorCode::kInvalid,
                fmt::format("a job must have 1 to {} lines", kMaxItems));
  }
  if (serving::FindRepeated(items))
    return Fail(ErrorCode::kInvalid, "two lines have the same \"custom_id\"");
  if (serving::FindUnsendable(items)) {
    return Fail(ErrorCode::kInvalid,
                "a \"custom_id\" or \"url\" is too long or contains invalid "
                "characters");
  }
  return items;
}

std::string_view StateOf(const BatchJob& job) {
  if (job.ended) return "cancelled";
  return job.complete() ? "completed" : "running";
}

// Text of one event in either response format of the OpenAI API (completions or
// chat); empty for events without text, such as the last.
std::string TextOfEvent(std::string_view data) {
  json::error_code ec;
  const json::value parsed = json::parse({data.data(), data.size()}, ec);
  if (ec) return {};
  const auto text = [&](const char* pointer) {
    json::error_code missing;
    const json::value* found = parsed.find_pointer(pointer, missing);
    return found && found->is_string() ? std::string(found->get_string())
                                       : std::string();
  };
  return text("/choices/0/text") + text("/choices/0/delta/content");
}

std::string TextOfOutput(std::string_view output) {
  std::string text;
  while (!output.empty()) {
    const size_t end = std::min(output.find('\n'), output.size());
    text += TextOfEvent(output.substr(0, end));
    output.remove_prefix(std::min(end + 1, output.size()));
  }
  return text;
}

// The caller's id of an item, which does not include that of its job. An item
// of a job from the other interface has only its own.
std::string_view CustomIdOf(const BatchJob& job, std::string_view item) {
  const bool prefixed = item.size() > job.id.size() &&
                        item.starts_with(job.id) && item[job.id.size()] == '-';
  if (prefixed) item.remove_prefix(job.id.size() + 1);
  return item;
}

std::string ResultLine(const BatchJob& job, size_t position) {
  const serving::ItemResult& result = job.results[position];
  const bool completed = result.state == serving::ItemState::kCompleted;
  json::object line = {{"index", position},
                       {"custom_id", CustomIdOf(job, result.item)},
                       {"status", completed ? "completed" : "failed"}};
  if (completed) {
    line["response"] = json::object{{"text", TextOfOutput(result.output)},
                                    {"events", result.output}};
  } else {
    line["error"] = json::object{{"code", "given_up"}};
  }
  return json::serialize(line) + "\n";
}

// Segments of the target's path; empty if the target is not valid.
std::vector<std::string> PathOf(const http::RequestEvent& request) {
  std::vector<std::string> path;
  const auto url = boost::urls::parse_origin_form(request.target);
  if (!url) return path;
  for (const auto& segment : url->segments()) path.push_back(segment);
  return path;
}

// Without an idempotency key, a resubmission cannot be distinguished from a new
// job.
std::string IdOfSubmission(const http::RequestEvent& request,
                           const CallerIdentity& caller) {
  std::string key(request.headers.Find("Idempotency-Key"));
  if (key.empty()) key = "request:" + caller.request_id;
  return fmt::format("b{:016x}",
                     HashCombine(Hash64(caller.workspace), Hash64(key)));
}

}  // namespace

// Parsed components of `/v1/batches/ID/VERB?after=N&limit=N`.
struct NativeBatchApi::JobTarget {
  std::string id;
  std::string verb;
  size_t after = 0;
  size_t limit = kMaxResults;
};

NativeBatchApi::NativeBatchApi(const serving::RouteTable& routes,
                               const serving::JobTable& jobs, JobWriter& writer,
                               std::string own_name, Callbacks callbacks)
    : routes_(routes),
      jobs_(jobs),
      writer_(writer),
      own_name_(std::move(own_name)),
      callbacks_(std::move(callbacks)) {}

bool NativeBatchApi::IsTarget(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  return path == kPath || path.starts_with(kRoutePath);
}

const serving::Route* NativeBatchApi::FindRoute(
    const serving::RouteTable& routes, std::string_view host) {
  const serving::Route* route = routes.Find(host, kRoutePath);
  const bool batch = route && route->kind == serving::RouteKind::kBatch;
  return batch ? route : nullptr;
}

bool NativeBatchApi::IsSubmission(const http::RequestEvent& request) {
  return request.method == "POST" && PathOf(request).size() == 2;
}

std::string NativeBatchApi::JobIdOf(const http::RequestEvent& request,
                                    const CallerIdentity& caller) {
  const std::vector<std::string> path = PathOf(request);
  if (path.size() == 2) return IdOfSubmission(request, caller);
  return path.size() > 2 ? path[2] : std::string();
}

void NativeBatchApi::OnRequest(http::RequestEvent&& request,
                               const CallerIdentity& caller) {
  const auto url = boost::urls::parse_origin_form(request.target);
  const std::vector<std::string> path = PathOf(request);
  JobTarget target;
  if (url) {
    for (const auto& parameter : url->params()) {
      const size_t number = std::strtoull(parameter.value.c_str(), nullptr, 10);
      if (parameter.key == "after") target.after = number;
      if (parameter.key == "limit") {
        target.limit = std::clamp<size_t>(number, 1, kMaxResults);
      }
    }
  }
  if (path.size() == 2 && request.method == "POST") {
    return Submit(std::move(request), caller);
  }
  if (path.size() < 3) return RespondUnknownJob(request.exchange, caller);
  target.id = path[2];
  target.verb = path.size() > 3 ? path[3] : "";
  const bool get = request.method == "GET";
  if (get && target.verb.empty()) {
    return Status(request.exchange, caller, target.id);
  }
  if (get && target.verb == "results") {
    return Results(std::move(request), caller, target);
  }
  if (request.method == "POST" && target.verb == "cancel") {
    return Cancel(request, caller, target.id);
  }
  RespondUnknownJob(request.exchange, caller);
}

void NativeBatchApi::Submit(http::RequestEvent&& request,
                            const CallerIdentity& caller) {
  const ExchangeId exchange = request.exchange;
  const serving::Route* route = FindRoute(routes_, caller.host);
  if (!route) {
    const bool unknown = routes_.version == 0;
    return callbacks_.to_caller(ToCommand(
        exchange, {.status = unknown ? 503U : 404U,
                   .code = "no_batch_route",
                   .message = "no batch route for /v1/batches/ on this host",
                   .request_id = caller.request_id,
                   .execution = ExecutionStatus::kNotExecuted}));
  }
  const std::string id = IdOfSubmission(request, caller);
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(items, ParseLines(id, request.body));
        uint64_t tokens = 0;
        for (const BatchItem& item : items) {
          if (!callbacks_.may_use_model(item.body, caller)) {
            return Fail(
                ErrorCode::kInvalid,
                "the workspace is not allowed to use the model of item " +
                    item.id);
          }
          tokens += item.tokens;
        }
        writer_.Submit({.job = id,
                        .record = NewJobRecord(
                            own_name_, caller.host, *route, caller.workspace,
                            users_platform::RenderSubmission(items)),
                        .tokens = tokens,
                        .max_waiting_tokens = route->max_waiting_tokens,
                        .arrived_at = request.received_at},
                       [this, exchange, caller, id](SubmitOutcome outcome) {
                         OnSubmitted(exchange, caller, id, outcome);
                       });
        return {};
      },
      [&](const Error& error) {
        callbacks_.to_caller(
            ToCommand(exchange, {.status = 400,
                                 .code = "invalid_batch",
                                 .message = error.message,
                                 .request_id = caller.request_id,
                                 .execution = ExecutionStatus::kNotExecuted}));
      },
      [] {});
}

void NativeBatchApi::OnSubmitted(ExchangeId exchange,
                                 const CallerIdentity& caller,
                                 const std::string& id, SubmitOutcome outcome) {
  ErrorResponse error{
      .code = NameOf(outcome),
      .message = "retry the submission with the same idempotency key",
      .request_id = caller.request_id,
      .execution = ExecutionStatus::kNotExecuted,
      .retry_after = kRetry};
  switch (outcome) {
    case SubmitOutcome::kAccepted:
      return RespondStatus(exchange, caller, 202, id);
    case SubmitOutcome::kOverQuota:
      error.status = 429;
      break;
    case SubmitOutcome::kUnavailable:
      error.status = 503;
      break;
    case SubmitOutcome::kTooLarge:
      error.status = 413;
      error.message = "the job is too large; split it into several jobs";
      error.retry_after.reset();
      break;
    case SubmitOutcome::kUnknown:
      error.status = 504;
      error.execution = ExecutionStatus::kUnknown;
      break;
  }
  callbacks_.to_caller(ToCommand(exchange, error));
}

void NativeBatchApi::RespondStatus(ExchangeId exchange,
                                   const CallerIdentity& caller,
                                   unsigned status, const std::string& id) {
  const BatchJob* job = FindJob(caller, id);
  if (!job) return RespondUnknownJob(exchange, caller);
  const auto failed = std::count_if(
      job->results.begin(), job->results.end(),
      [](const auto& r) { return r.state == serving::ItemState::kFailed; });
  const auto committed = static_cast<int64_t>(job->results.size());
  const auto total = static_cast<int64_t>(job->items.size());
  http::RespondCommand command{.exchange = exchange, .status = status};
  command.headers.Add("Content-Type", "application/json");
  command.headers.Add("X-Request-Id", caller.request_id);
  command.body = json::serialize(
      json::object{{"id", id},
                   {"object", "batch"},
                   {"state", StateOf(*job)},
                   {"total", total},
                   {"completed", committed - failed},
                   {"failed", failed},
                   {"cancelled", job->ended ? total - committed : 0}});
  callbacks_.to_caller(std::move(command));
}

void NativeBatchApi::RespondNotCurrent(ExchangeId exchange,
                                       const CallerIdentity& caller) {
  callbacks_.to_caller(ToCommand(
      exchange,
      {.status = 503,
       .code = "not_current",
       .message = "this gateway does not have all job records yet; retry",
       .request_id = caller.request_id,
       .retry_after = kRetry}));
}

// Guards against a 404 for a job that a peer has just accepted and whose record
// has not reached this gateway yet.
void NativeBatchApi::RespondUnknownJob(ExchangeId exchange,
                                       const CallerIdentity& caller) {
  if (!callbacks_.has_all_records()) return RespondNotCurrent(exchange, caller);
  callbacks_.to_caller(ToCommand(exchange, {.status = 404,
                                            .code = "batch_not_found",
                                            .message = "no such batch job",
                                            .request_id = caller.request_id}));
}

// A job of another workspace is reported as not found.
const BatchJob* NativeBatchApi::FindJob(const CallerIdentity& caller,
                                        const std::string& id) const {
  const BatchJob* job = jobs_.Find(id);
  return job && job->workspace == caller.workspace ? job : nullptr;
}

void NativeBatchApi::Status(ExchangeId exchange, const CallerIdentity& caller,
                            const std::string& id) {
  RespondStatus(exchange, caller, 200, id);
}

void NativeBatchApi::Results(http::RequestEvent&& request,
                             const CallerIdentity& caller,
                             const JobTarget& target) {
  const BatchJob* job = FindJob(caller, target.id);
  // The sender knows of a job or a result that this gateway does not have yet.
  const bool behind = !job || job->results.size() <= target.after;
  if (caller.sent_to_holder && behind) {
    return callbacks_.to_caller(http::RespondCommand{
        .exchange = request.exchange, .status = JobForwarder::kMisdirected});
  }
  if (!job) return RespondUnknownJob(request.exchange, caller);
  if (job->MissingSegment(target.after)) {
    return ReadOutputs(std::move(request), caller, target);
  }
  RespondResults(request.exchange, caller, target, *job);
}

void NativeBatchApi::ReadOutputs(http::RequestEvent&& request,
                                 const CallerIdentity& caller,
                                 const JobTarget& target) {
  const ExchangeId exchange = request.exchange;
  const auto missing = [after = target.after](const BatchJob& job) {
    const auto segment = job.MissingSegment(after);
    return segment ? std::optional(SegmentName(job.id, *segment))
                   : std::nullopt;
  };
  callbacks_.serve_from_holder(
      std::make_shared<const JobCall>(JobCall{std::move(request), caller}),
      target.id, missing, [this, exchange, caller, target](bool complete) {
        const BatchJob* job = FindJob(caller, target.id);
        if (job && complete) {
          return RespondResults(exchange, caller, target, *job);
        }
        callbacks_.to_caller(
            ToCommand(exchange, {.status = 503,
                                 .code = "results_unavailable",
                                 .message = "the results cannot be read now",
                                 .request_id = caller.request_id,
                                 .retry_after = kRetry}));
      });
}

void NativeBatchApi::RespondResults(ExchangeId exchange,
                                    const CallerIdentity& caller,
                                    const JobTarget& target,
                                    const BatchJob& job) {
  const bool nothing_new =
      target.after >= job.results.size() && !job.complete();
  if (nothing_new && !callbacks_.has_all_records()) {
    return RespondNotCurrent(exchange, caller);
  }
  const size_t limit =
      std::min(job.results.size(), target.after + target.limit);
  http::RespondCommand command{.exchange = exchange, .status = 200};
  size_t end = target.after;
  while (end < limit && job.results[end].has_output &&
         command.body.size() < kMaxPageBytes) {
    command.body += ResultLine(job, end++);
  }
  command.headers.Add("Content-Type", "application/jsonl");
  command.headers.Add("X-Request-Id", caller.request_id);
  command.headers.Add("X-Job-State", std::string(StateOf(job)));
  if (job.open() || end < job.results.size()) {
    command.headers.Add("X-Next-After", std::to_string(end));
  }
  callbacks_.to_caller(std::move(command));
}

void NativeBatchApi::Cancel(const http::RequestEvent& request,
                            const CallerIdentity& caller,
                            const std::string& id) {
  if (!FindJob(caller, id)) return RespondUnknownJob(request.exchange, caller);
  writer_.End(
      id, request.received_at + kCancelTimeout,
      [this, exchange = request.exchange, caller, id](EndOutcome end) {
        if (end == EndOutcome::kEnded) {
          return RespondStatus(exchange, caller, 202, id);
        }
        if (end == EndOutcome::kNotFound) {
          return RespondUnknownJob(exchange, caller);
        }
        callbacks_.to_caller(ToCommand(
            exchange,
            {.status = 503,
             .code = "platform_unavailable",
             .message = "the cancellation is not confirmed; retry the request",
             .request_id = caller.request_id,
             .retry_after = kRetry}));
      });
}

}  // namespace knapweedstile::gateway
