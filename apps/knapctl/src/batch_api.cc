#include "batch_api.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <string_view>

#include "command_line.h"
#include "http_call.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned kNotFoundStatus = 404;
constexpr unsigned kConflictStatus = 409;
constexpr unsigned kFirstError = 400;

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
    call.headers.Add("X-Workspace", line_.workspace);
    if (!key.empty()) call.headers.Add("Idempotency-Key", key);
    end = Send(call);
    if (end.outcome == http::ClientOutcome::kComplete) break;
  }
  return end;
}

ExitCode BatchApi::Submit(const std::string& body, const std::string& key,
                          uint64_t due_ms, JobView* job) const {
  std::string target = "/v1/batches";
  if (due_ms != 0) target += "?due_ms=" + std::to_string(due_ms);
  const http::EndEvent end = Call("POST", target, body, key);
  *job = ViewOf(end.body);
  return CodeOf(end);
}

ExitCode BatchApi::Status(const std::string& id, JobView* job) const {
  const http::EndEvent end =
      Call("GET", "/v1/batches/" + UrlEncode(id), "", "");
  *job = ViewOf(end.body);
  return CodeOf(end);
}

ExitCode BatchApi::Cancel(const std::string& id) const {
  return CodeOf(
      Call("POST", "/v1/batches/" + UrlEncode(id) + "/cancel", "", ""));
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
