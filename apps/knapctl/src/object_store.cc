#include "object_store.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "http_call.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;
using http::ClientOutcome;

constexpr unsigned kOkStatus = 200;
constexpr unsigned kNotFoundStatus = 404;
constexpr unsigned kConflictStatus = 409;

json::object ParseObject(const std::string& text) {
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  return error || !value.is_object() ? json::object() : value.get_object();
}

uint64_t NumberField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return 0;
  if (value->is_uint64()) return value->get_uint64();
  return value->is_int64() ? static_cast<uint64_t>(value->get_int64()) : 0;
}

std::string StringField(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return {};
  return std::string(value->get_string());
}

std::string TargetOf(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + UrlEncode(kind) + "/" + UrlEncode(name);
}

ObjectResponse ParseResponse(const http::EndEvent& end) {
  ObjectResponse response;
  response.message = end.message.empty() ? end.body : end.message;
  if (end.outcome != ClientOutcome::kComplete) return response;
  const json::object fields = ParseObject(end.body);
  response.version = NumberField(fields, "version");
  response.value = StringField(fields, "value");
  switch (end.status) {
    case kOkStatus:
      response.code = ExitCode::kOk;
      break;
    case kNotFoundStatus:
      response.code = ExitCode::kNotFound;
      break;
    case kConflictStatus:
      response.code = ExitCode::kConflict;
      break;
    default:
      response.code = ExitCode::kFailed;
  }
  return response;
}

}  // namespace

ObjectResponse ObjectStore::Read(const std::string& kind,
                                 const std::string& name) const {
  HttpCall call;
  call.address = address_;
  call.target = TargetOf(kind, name);
  return ParseResponse(Send(call));
}

ObjectResponse ObjectStore::Write(const std::string& kind,
                                  const std::string& name, uint64_t if_version,
                                  const std::string& value) const {
  HttpCall call;
  call.address = address_;
  call.method = "PUT";
  call.target =
      TargetOf(kind, name) + "?if_version=" + std::to_string(if_version);
  call.body = value;
  const http::EndEvent end = Send(call);
  const bool in_doubt = end.outcome == ClientOutcome::kLost ||
                        end.outcome == ClientOutcome::kDeadline ||
                        end.outcome == ClientOutcome::kInvalid;
  if (!in_doubt) return ParseResponse(end);
  ObjectResponse stored = Read(kind, name);
  if (stored.code == ExitCode::kOk && stored.value == value) return stored;
  stored.code = ExitCode::kUnavailable;
  stored.message = "the response was lost and the change is not visible";
  return stored;
}

ObjectResponse ObjectStore::Delete(const std::string& kind,
                                   const std::string& name,
                                   uint64_t if_version) const {
  HttpCall call;
  call.address = address_;
  call.method = "DELETE";
  call.target =
      TargetOf(kind, name) + "?if_version=" + std::to_string(if_version);
  return ParseResponse(Send(call));
}

ExitCode ObjectStore::List(const std::string& kind,
                           std::vector<ListedObject>* objects) const {
  uint64_t after = 0;
  for (;;) {
    HttpCall call;
    call.address = address_;
    call.target = "/v1/objects/" + UrlEncode(kind) +
                  "?values=true&limit=500&after=" + std::to_string(after);
    const http::EndEvent end = Send(call);
    if (end.outcome != ClientOutcome::kComplete) return ExitCode::kUnavailable;
    if (end.status != kOkStatus) return ExitCode::kFailed;
    const json::object page = ParseObject(end.body);
    const json::value* list = page.if_contains("objects");
    if (list == nullptr || !list->is_array()) return ExitCode::kFailed;
    for (const json::value& element : list->get_array()) {
      const json::object& fields = element.get_object();
      const json::value* deleted = fields.if_contains("deleted");
      if (deleted != nullptr && deleted->is_bool() && deleted->get_bool()) {
        continue;
      }
      objects->push_back({StringField(fields, "name"),
                          NumberField(fields, "version"),
                          StringField(fields, "value")});
    }
    const json::value* more = page.if_contains("more");
    if (more == nullptr || !more->is_bool() || !more->get_bool()) {
      return ExitCode::kOk;
    }
    after = NumberField(page, "revision");
  }
}

}  // namespace knapweedstile::ctl
