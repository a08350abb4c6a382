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
constexpr unsigned kFirstError = 400;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;
// Below what a gateway takes as one job.
constexpr size_t kLinesOfJob = 1000;
constexpr int kSubmitTries = 20;
constexpr std::chrono::milliseconds kSubmitPause{500};

// The lines of a file in parts that are a job each.
std::vector<std::string> SplitLines(const std::string& body) {
  std::vector<std::string> parts;
  std::istringstream text(body);
  size_t lines = 0;
  for (std::string line; std::getline(text, line);) {
    if (lines++ % kLinesOfJob == 0) parts.emplace_back();
    parts.back() += line + "\n";
  }
  if (parts.empty()) parts.emplace_back();
  return parts;
}

uint64_t NumberAt(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64()) return 0;
  return static_cast<uint64_t>(value->get_int64());
}

std::string TextAt(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

JobView ViewOf(const std::string& body) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  JobView job;
  if (error || !value.is_object()) return job;
  const json::object& fields = value.get_object();
  job.id = TextAt(fields, "id");
  job.state = TextAt(fields, "state");
  job.total = NumberAt(fields, "total");
  job.completed = NumberAt(fields, "completed");
  job.failed = NumberAt(fields, "failed");
  job.cancelled = NumberAt(fields, "cancelled");
  return job;
}

}  // namespace

ExitCode CodeOf(const http::EndEvent& end) {
  if (end.outcome != http::ClientOutcome::kComplete) {
    Complain("no entry answers: " + end.message);
    return ExitCode::kUnavailable;
  }
  if (end.status < kFirstError) return ExitCode::kOk;
  Complain(end.body);
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
  for (const std::string& entry : line_.entries) {
    HttpCall call;
    call.address = entry;
    call.method = method;
    call.target = target;
    call.body = body;
    call.headers.Add("Host", line_.host.empty() ? entry : line_.host);
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

std::vector<std::string> SplitIds(const std::string& id) {
  std::vector<std::string> ids;
  std::istringstream text(id);
  for (std::string one; std::getline(text, one, ',');) ids.push_back(one);
  return ids;
}

ExitCode BatchApi::Submit(const std::string& body, const std::string& key,
                          JobView* job) const {
  std::string ids;
  size_t part = 0;
  for (const std::string& lines : SplitLines(body)) {
    // With the same key a resent file is the same jobs again.
    const std::string part_key =
        key.empty() ? key : key + "/" + std::to_string(part++);
    http::EndEvent end;
    // A full quota or a store that is away passes; the job is the same one.
    for (int tries = 0; tries < kSubmitTries; ++tries) {
      end = Call("POST", "/v1/batches", lines, part_key);
      const bool later = end.status == kTooMany || end.status == kUnavailable;
      if (!later || part_key.empty()) break;
      std::this_thread::sleep_for(kSubmitPause);
    }
    if (const ExitCode code = CodeOf(end); code != ExitCode::kOk) return code;
    if (!ids.empty()) ids += ',';
    ids += ViewOf(end.body).id;
  }
  return Status(ids, job);
}

ExitCode BatchApi::Status(const std::string& id, JobView* job) const {
  JobView sum{.id = id, .state = "completed"};
  for (const std::string& one : SplitIds(id)) {
    const http::EndEvent end =
        Call("GET", "/v1/batches/" + UrlEncode(one), "", "");
    if (const ExitCode code = CodeOf(end); code != ExitCode::kOk) return code;
    const JobView view = ViewOf(end.body);
    if (view.state != "completed") sum.state = view.state;
    sum.total += view.total;
    sum.completed += view.completed;
    sum.failed += view.failed;
    sum.cancelled += view.cancelled;
  }
  *job = sum;
  return ExitCode::kOk;
}

ExitCode BatchApi::Cancel(const std::string& id) const {
  for (const std::string& one : SplitIds(id)) {
    const ExitCode code = CodeOf(
        Call("POST", "/v1/batches/" + UrlEncode(one) + "/cancel", "", ""));
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
  const ExitCode code = CodeOf(end);
  if (code != ExitCode::kOk) return code;
  *lines = end.body;
  const std::string_view next = end.headers.Find("X-Next-After");
  std::from_chars(next.data(), next.data() + next.size(), *next_after);
  return code;
}

}  // namespace knapweedstile::ctl
