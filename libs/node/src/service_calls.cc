#include "service_calls.h"

#include <utility>
#include <variant>

#include "base/hash.h"
#include "entry_ports.h"
#include "http/server_command.h"
#include "objects/service.h"
#include "observe/metrics.h"
#include "openai_api.h"
#include "outcome_errors.h"
#include "passed_headers.h"
#include "traffic_route.h"

namespace knapweedstile::node {

ServiceCalls::ServiceCalls(EntryPorts& ports, observe::Metrics& metrics)
    : ports_(ports), metrics_(metrics) {
  metrics_.DeclareCounter("knap_service_calls_total",
                          "Calls of plain services and how they ended.",
                          {"service", "end"});
}

ServiceCalls::Prepared ServiceCalls::Begin(RequestId id,
                                           const http::RequestEvent& request,
                                           const objects::Service& service,
                                           bool idempotent,
                                           const CallerIdentity& identity,
                                           const TrafficRoute& route,
                                           TimePoint deadline) {
  ServiceCall call;
  call.exchange = request.exchange;
  call.identity = identity;
  call.service = service.name;
  calls_.emplace(id, std::move(call));

  Prepared prepared;
  prepared.info.id = id;
  prepared.info.workspace = identity.workspace;
  prepared.info.caller = identity.caller;
  prepared.info.target = route.pool;
  prepared.info.deadline = deadline;
  prepared.info.fingerprint = HashCombine(
      Hash64(request.method + ' ' + request.target), Hash64(request.body));
  prepared.info.idempotent = idempotent;
  pb::RunRequest& message = prepared.message;
  message.set_request_id(identity.request_id);
  message.set_workspace(identity.workspace);
  message.set_caller(identity.caller);
  message.set_target(route.target);
  message.set_method(request.method);
  message.set_path(request.target);
  message.set_body(request.body);
  message.set_fingerprint(prepared.info.fingerprint);
  message.set_idempotent(idempotent);
  message.set_plain_service(true);
  for (const auto& [name, value] : request.headers.fields()) {
    if (!IsPassedOn(name)) continue;
    pb::Header& header = *message.add_headers();
    header.set_name(name);
    header.set_value(value);
  }
  return prepared;
}

bool ServiceCalls::OnEvent(TimePoint now, const RequestEvent& event) {
  const RequestId id =
      std::visit([](const auto& typed) { return typed.request; }, event);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  ServiceCall& call = found->second;
  if (const auto* output = std::get_if<RequestOutputEvent>(&event)) {
    call.body += output->data;
    return true;
  }
  if (const auto* finished = std::get_if<RequestFinishedEvent>(&event)) {
    OnFinished(call, finished->finished);
  } else {
    ApiError error;
    if (const auto* refused = std::get_if<RequestRefusedEvent>(&event)) {
      error = ErrorOfRefusal(refused->refusal, now);
    } else if (const auto* failed = std::get_if<RequestFailedEvent>(&event)) {
      error = ErrorOfFailure(failed->outcome, failed->message);
    }
    metrics_.Add("knap_service_calls_total", {call.service, error.code});
    http::RespondCommand command{call.exchange,
                                 error.status,
                                 {},
                                 RenderError(error, call.identity.request_id)};
    command.headers.Add("Content-Type", "application/json");
    command.headers.Add("X-Request-Id", call.identity.request_id);
    AddRetryAfter(error, command.headers);
    ports_.callers(std::move(command));
  }
  calls_.erase(found);
  return true;
}

void ServiceCalls::OnFinished(ServiceCall& call, const pb::Finished& finished) {
  metrics_.Add("knap_service_calls_total", {call.service, "done"});
  http::RespondCommand command{
      call.exchange, finished.status(), {}, std::move(call.body)};
  for (const pb::Header& header : finished.headers()) {
    if (IsPassedOn(header.name())) {
      command.headers.Add(header.name(), header.value());
    }
  }
  command.headers.Add("X-Request-Id", call.identity.request_id);
  ports_.callers(std::move(command));
}

}  // namespace knapweedstile::node
