#include "operators/objects_api.h"

#include <boost/json.hpp>
#include <boost/url.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "objects/catalog.h"
#include "objects/object_kind.h"
#include "operators/object_names.h"
#include "platform/store_answer.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;
using platform::StoreAnswer;
using platform::StoreOutcome;

constexpr char kPrefix[] = "/v1/objects/";
// Operators wait for the response; even a slow store answers within a second.
constexpr std::chrono::milliseconds kCallTimeout{3000};

unsigned StatusOf(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kOk:
      return 200;
    case StoreOutcome::kNotFound:
      return 404;
    case StoreOutcome::kConflict:
      return 409;
    case StoreOutcome::kRejected:
      return 400;
    case StoreOutcome::kUnknown:
      return 504;
    default:
      return 503;
  }
}

std::string ErrorBody(std::string_view message) {
  return json::serialize(json::object{{"error", message}});
}

// Why the value is not a valid object of this kind; empty if it is valid.
std::string ValidationErrors(const std::string& kind, const std::string& name,
                             const std::string& value) {
  constexpr uint64_t kAnyVersion = 1;
  objects::Catalog catalog;
  const objects::ApplyResult result =
      catalog.Apply(kind, name, kAnyVersion, value, false);
  return objects::Describe(result.errors);
}

json::object ToJson(const platform::StoredObject& object) {
  return {{"name", ParseObjectName(object.name).name},
          {"version", object.version},
          {"value", object.value}};
}

}  // namespace

struct ObjectsApi::ObjectCall {
  ExchangeId caller;
  std::string kind;
  std::string name;
  uint64_t if_version = 0;

  std::string stored_name() const { return StoredObjectName(kind, name); }
};

ObjectsApi::ObjectsApi(StoreCalls& store, SendToCaller to_caller)
    : store_(store), send_to_caller_(std::move(to_caller)) {}

bool ObjectsApi::IsObjectTarget(std::string_view target) {
  return target.starts_with(kPrefix);
}

void ObjectsApi::Respond(ExchangeId caller, unsigned status, std::string body) {
  http::HeaderList headers;
  headers.Add("Content-Type", "application/json");
  send_to_caller_(http::RespondCommand{.exchange = caller,
                                       .status = status,
                                       .headers = std::move(headers),
                                       .body = std::move(body)});
}

void ObjectsApi::OnRequest(const http::RequestEvent& request) {
  const auto url = boost::urls::parse_origin_form(request.target);
  if (!url) return Respond(request.exchange, 400, ErrorBody("no such target"));
  std::vector<std::string> path;
  for (const auto& segment : url->segments()) path.push_back(segment);
  ObjectCall call{.caller = request.exchange,
                  .kind = path[2],
                  .name = path.size() > 3 ? path[3] : std::string()};
  if (!ParseEnum<objects::ObjectKind>(call.kind)) {
    return Respond(call.caller, 404, ErrorBody("no such kind: " + call.kind));
  }
  const auto params = url->params();
  if (const auto version = params.find("if_version"); version != params.end()) {
    const std::string text = (*version).value;
    call.if_version = std::strtoull(text.c_str(), nullptr, 10);
  }
  if (call.name.empty()) return List(call.caller, call.kind);
  if (request.method == "GET") return Read(call);
  if (request.method == "PUT") return Write(call, request.body);
  if (request.method == "DELETE") return Delete(call);
  Respond(call.caller, 405, ErrorBody("no such method"));
}

void ObjectsApi::List(ExchangeId caller, const std::string& kind) {
  store_.Call(
      platform::ListRequest{.kind = kOperatorObjectsKind},
      MonotonicNow() + kCallTimeout,
      [this, caller, kind](StoreAnswer&& answer) {
        if (answer.outcome != StoreOutcome::kOk) {
          return Respond(caller, StatusOf(answer.outcome),
                         ErrorBody(answer.message));
        }
        json::array objects;
        for (const auto& object : answer.objects) {
          if (ParseObjectName(object.name).kind != kind) continue;
          objects.push_back(ToJson(object));
        }
        Respond(caller, 200,
                json::serialize(json::object{{"revision", answer.revision},
                                             {"more", false},
                                             {"objects", std::move(objects)}}));
      });
}

void ObjectsApi::Read(const ObjectCall& call) {
  store_.CallDirectOrRelayed(
      platform::ReadRequest{.kind = kOperatorObjectsKind,
                            .name = call.stored_name()},
      MonotonicNow() + kCallTimeout,
      [this, caller = call.caller](StoreAnswer&& answer) {
        if (answer.outcome != StoreOutcome::kOk || answer.objects.empty()) {
          return Respond(caller, StatusOf(answer.outcome),
                         ErrorBody(NameOf(answer.outcome)));
        }
        Respond(caller, 200, json::serialize(ToJson(answer.objects.front())));
      });
}

void ObjectsApi::Write(const ObjectCall& call, const std::string& value) {
  if (const std::string errors = ValidationErrors(call.kind, call.name, value);
      !errors.empty()) {
    LogWarning("object_write_refused",
               {{"object", call.stored_name()}, {"reason", errors}});
    return Respond(call.caller, 422, ErrorBody(errors));
  }
  store_.CallDirectOrRelayed(
      platform::WriteRequest{.kind = kOperatorObjectsKind,
                             .name = call.stored_name(),
                             .if_version = call.if_version,
                             .value = value},
      MonotonicNow() + kCallTimeout, [this, call](StoreAnswer&& answer) {
        LogInfo("object_written", {{"object", call.stored_name()},
                                   {"if_version", call.if_version},
                                   {"outcome", NameOf(answer.outcome)},
                                   {"version", answer.version}});
        Respond(call.caller, StatusOf(answer.outcome),
                json::serialize(json::object{{"version", answer.version}}));
      });
}

void ObjectsApi::Delete(const ObjectCall& call) {
  store_.Call(
      platform::DeleteRequest{.kind = kOperatorObjectsKind,
                              .name = call.stored_name(),
                              .if_version = call.if_version},
      MonotonicNow() + kCallTimeout, [this, call](StoreAnswer&& answer) {
        LogInfo("object_deleted", {{"object", call.stored_name()},
                                   {"if_version", call.if_version},
                                   {"outcome", NameOf(answer.outcome)}});
        Respond(call.caller, StatusOf(answer.outcome),
                json::serialize(json::object{{"version", answer.version}}));
      });
}

}  // namespace knapweedstile::gateway
