#include "batch_api.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <chrono>
#include <sstream>
#include <string_view>
#include <thread>

#include "command_line.h"
#include "http_call.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned kNotFoundStatus = 404;
constexpr unsigned kConflictStatus = 409;
constexpr unsigned kFirstErrorStatus = 400;
constexpr unsigned kTooManyRequestsStatus = 429;
constexpr unsigned kServiceUnavailableStatus = 503;
// Below the number of items that a gateway accepts in one job.
constexpr size_t kMaxLinesPerJob = 1000;
constexpr int kMaxSubmitAttempts = 20;
constexpr std::chrono::milliseconds kSubmitRetryDelay{500};

// Splits a file of JSON lines into bodies of at most kMaxLinesPerJob lines.
std::vector<std::string> SplitIntoJobs(const std::string& body) {
  std::vector<std::string> parts;
  std::istringstream text(body);
  size_t lines = 0;
  for (std::string line; std::getline(text, line);) {
    if (lines++ % kMaxLinesPerJob == 0) parts.emplace_back();
    parts.back() += line + "\n";
  }
  if (parts.empty()) parts.emplace_back();
  return parts;
}

uint64_t NumberField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64()) return 0;
  return static_cast<uint64_t>(value->get_int64());
}

std::string StringField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

JobStatus ParseJobStatus(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  JobStatus job;
  if (error || !value.is_object()) return job;
  const json::object& fields = value.get_object();
  job.id = StringField(fields, "id");
  job.state = StringField(fields, "state");
  job.total = NumberField(fields, "total");
  job.completed = NumberField(fields, "completed");
  job.failed = NumberField(fields, "failed");
  job.cancelled = NumberField(fields, "cancelled");
  return job;
}

}  // namespace

ExitCode ToExitCode(const http::EndEvent& end) {
  if (end.outcome != http::ClientOutcome::kComplete) {
    PrintError("no gateway responded: " + end.message);
    return ExitCode::kUnavailable;
  }
  if (end.status < kFirstErrorStatus) return ExitCode::kOk;
  PrintError(end.body);
  if (end.status == kNotFoundStatus) return ExitCode::kNotFound;
  if (end.status == kConflictStatus) return ExitCode::kConflict;
  return ExitCode::kFailed;
}

http::EndEvent BatchApi::Call(const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              const std::string& key) const {
  http::EndEvent end;
  end.message = "no --entry given";
  for (const std::string& gateway : line_.gateways) {
    HttpCall call;
    call.address = gateway;
    call.method = method;
    call.target = target;
    call.body = body;
    call.headers.Add("Host", line_.host.empty() ? gateway : line_.host);
    call.headers.Add("X-Workspace", line_.workspace);
    if (!line_.api_key.empty()) {
      call.headers.Add("Authorization", "Bearer " + line_.api_key);
    }
    if (!key.empty()) call.headers.Add("Idempotency-Key", key);
    end = Send(call);
    if (end.outcome == http::ClientOutcome::kComplete) break;
  }
  return end;
}

std::vector<std::string> SplitJobIds(const std::string& id) {
  std::vector<std::string> ids;
  std::istringstream text(id);
  for (std::string job_id; std::getline(text, job_id, ',');)
    ids.push_back(job_id);
  return ids;
}

ExitCode BatchApi::Submit(const std::string& body, const std::string& key,
                          JobStatus* job) const {
  std::string ids;
  size_t part = 0;
  for (const std::string& lines : SplitIntoJobs(body)) {
    // Derived keys: resending a file with the same key yields the same jobs.
    const std::string part_key =
        key.empty() ? key : key + "/" + std::to_string(part++);
    http::EndEvent end;
    // A full quota and an unavailable store are temporary; the idempotency key
    // keeps a retry from creating a second job.
    for (int attempt = 0; attempt < kMaxSubmitAttempts; ++attempt) {
      end = Call("POST", "/v1/batches", lines, part_key);
      const bool retryable = end.status == kTooManyRequestsStatus ||
                             end.status == kServiceUnavailableStatus;
      if (!retryable || part_key.empty()) break;
      std::this_thread::sleep_for(kSubmitRetryDelay);
    }
    if (const ExitCode code = ToExitCode(end); code != ExitCode::kOk)
      return code;
    if (!ids.empty()) ids += ',';
    ids += ParseJobStatus(end.body).id;
  }
  return Status(ids, job);
}

ExitCode BatchApi::Status(const std::string& id, JobStatus* job) const {
  JobStatus total{.id = id, .state = "completed"};
  for (const std::string& job_id : SplitJobIds(id)) {
    const http::EndEvent end =
        Call("GET", "/v1/batches/" + UrlEncode(job_id), "", "");
    if (const ExitCode code = ToExitCode(end); code != ExitCode::kOk)
      return code;
    const JobStatus status = ParseJobStatus(end.body);
    if (status.state != "completed") total.state = status.state;
    total.total += status.total;
    total.completed += status.completed;
    total.failed += status.failed;
    total.cancelled += status.cancelled;
  }
  *job = total;
  return ExitCode::kOk;
}

ExitCode BatchApi::Cancel(const std::string& id) const {
  for (const std::string& job_id : SplitJobIds(id)) {
    const ExitCode code = ToExitCode(
        Call("POST", "/v1/batches/" + UrlEncode(job_id) + "/cancel", "", ""));
    if (code != ExitCode::kOk) return code;
  }
  return ExitCode::kOk;
}

ExitCode BatchApi::Results(const std::string& id, uint64_t after,
                           std::string* lines, uint64_t* next_after) const {
  const http::EndEvent end = Call("GET",
                                  "/v1/batches/" + UrlEncode(id) +
                                      "/results?after=" + std::to_string(after),
                                  "", "");
  *next_after = 0;
  const ExitCode code = ToExitCode(end);
  if (code != ExitCode::kOk) return code;
  *lines = end.body;
  const std::string_view next = end.headers.Find("X-Next-After");
  std::from_chars(next.data(), next.data() + next.size(), *next_after);
  return code;
}

}  // namespace knapweedstile::ctl
