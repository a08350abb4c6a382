#include "online_calls.h"

#include <chrono>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "entry_fleet.h"
#include "entry_ports.h"
#include "error_response.h"
#include "http/server_command.h"
#include "observe/metrics.h"
#include "outcome_errors.h"
#include "traffic_route.h"

namespace knapweedstile::node {
namespace {

constexpr unsigned kOk = 200;

http::HeaderList JsonHeaders(const CallerIdentity& identity) {
  http::HeaderList headers;
  headers.Add("Content-Type", "application/json");
  headers.Add("X-Request-Id", identity.request_id);
  return headers;
}

int64_t WallClockSeconds() {
  constexpr int64_t kNanosPerSecond = 1'000'000'000;
  return WallClockNanos() / kNanosPerSecond;
}

}  // namespace

OnlineCalls::OnlineCalls(EntryPorts& ports, observe::Metrics& metrics,
                         const EntryFleet& fleet)
    : ports_(ports), metrics_(metrics), fleet_(fleet) {
  metrics_.DeclareCounter("knap_online_calls_total",
                          "Online completions by policy and how they ended.",
                          {"policy", "end"});
  metrics_.DeclareHistogram("knap_ttft_seconds",
                            "From the request's first byte to the first token.",
                            {"policy", "class"});
  metrics_.DeclareHistogram("knap_inter_token_seconds",
                            "Between two pieces of output of one answer.",
                            {"policy", "class"});
}

PreparedRequest OnlineCalls::Begin(RequestId id,
                                   const http::RequestEvent& request,
                                   const CompletionRequest& completion,
                                   const CallerIdentity& identity,
                                   const TrafficRoute& route,
                                   TimePoint deadline) {
  OnlineCall call;
  call.exchange = request.exchange;
  call.identity = identity;
  call.policy = route.policy;
  call.stream = completion.stream;
  call.received_at = request.received_at;
  call.answer.api = completion.api;
  call.answer.request_id = identity.request_id;
  call.answer.model = completion.model;
  call.answer.created_seconds = WallClockSeconds();
  calls_.emplace(id, std::move(call));

  PreparedRequest prepared;
  prepared.info.id = id;
  prepared.info.workspace = identity.workspace;
  prepared.info.caller = identity.caller;
  prepared.info.target = route.pool;
  prepared.info.workspace_weight = route.workspace_weight;
  prepared.info.prefix_hashes = completion.prefix_hashes;
  prepared.info.prompt_tokens = completion.prompt_tokens;
  prepared.info.max_tokens = completion.max_tokens;
  prepared.info.deadline = deadline;
  prepared.info.fingerprint = completion.fingerprint;
  pb::RunRequest& message = prepared.message;
  message.set_request_id(identity.request_id);
  message.set_workspace(identity.workspace);
  message.set_caller(identity.caller);
  message.set_target(route.target);
  message.set_path(std::string(NameOf(completion.api)));
  message.set_body(request.body);
  message.set_prompt_tokens(completion.prompt_tokens);
  message.set_max_tokens(completion.max_tokens);
  message.set_fingerprint(completion.fingerprint);
  message.set_idempotent(true);
  return prepared;
}

bool OnlineCalls::OnEvent(TimePoint now, const RequestEvent& event) {
  const RequestId id =
      std::visit([](const auto& typed) { return typed.request; }, event);
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  OnlineCall& call = found->second;
  if (const auto* output = std::get_if<RequestOutputEvent>(&event)) {
    OnOutput(now, call, *output);
    return true;
  }
  if (const auto* finished = std::get_if<RequestFinishedEvent>(&event)) {
    OnFinished(call, *finished);
  } else if (const auto* refused = std::get_if<RequestRefusedEvent>(&event)) {
    OnError(call, ErrorOfRefusal(refused->refusal, now));
  } else if (const auto* failed = std::get_if<RequestFailedEvent>(&event)) {
    OnError(call, ErrorOfFailure(failed->outcome, failed->message));
  }
  calls_.erase(found);
  return true;
}

void OnlineCalls::OnOutput(TimePoint now, OnlineCall& call,
                           const RequestOutputEvent& event) {
  // Output without tokens is the body of an error answer of the engine.
  if (event.tokens > 0) {
    const bool first = call.last_output_at == TimePoint();
    if (first) call.policy = fleet_.PolicyOf(call.policy, event.server);
    metrics_.Observe(
        first ? "knap_ttft_seconds" : "knap_inter_token_seconds",
        ToSeconds(now - (first ? call.received_at : call.last_output_at)),
        {call.policy, std::string(NameOf(TrafficClass::kOnline))});
    call.last_output_at = now;
    call.answer.completion_tokens += event.tokens;
  }
  if (call.stream && event.tokens > 0) {
    BeginStream(call);
    ports_.callers(http::StreamChunkCommand{
        call.exchange, RenderChunk(call.answer, event.data), false});
  } else {
    call.answer.text += event.data;
  }
}

void OnlineCalls::BeginStream(OnlineCall& call) {
  if (call.stream_begun) return;
  call.stream_begun = true;
  http::BeginStreamCommand begin{call.exchange, kOk, {}};
  begin.headers.Add("Content-Type", "text/event-stream");
  begin.headers.Add("Cache-Control", "no-cache");
  begin.headers.Add("X-Request-Id", call.identity.request_id);
  ports_.callers(std::move(begin));
}

void OnlineCalls::OnFinished(OnlineCall& call,
                             const RequestFinishedEvent& event) {
  const pb::Finished& finished = event.finished;
  metrics_.Add("knap_online_calls_total",
               {call.policy, finished.status() == kOk ? "done" : "error"});
  if (finished.status() != kOk) {
    ports_.callers(http::RespondCommand{call.exchange, finished.status(),
                                        JsonHeaders(call.identity),
                                        std::move(call.answer.text)});
    return;
  }
  call.answer.finish_reason = finished.finish_reason();
  call.answer.prompt_tokens = finished.prompt_tokens();
  if (call.stream) {
    BeginStream(call);
    ports_.callers(http::StreamChunkCommand{
        call.exchange, RenderStreamEnd(call.answer), true});
  } else {
    ports_.callers(http::RespondCommand{call.exchange, kOk,
                                        JsonHeaders(call.identity),
                                        RenderAnswer(call.answer)});
  }
}

void OnlineCalls::OnError(OnlineCall& call, const ApiError& error) {
  metrics_.Add("knap_online_calls_total", {call.policy, error.code});
  if (call.stream_begun) {
    // The status line has gone out: the error is an event, and the missing
    // [DONE] tells the client that the answer is not whole.
    ports_.callers(http::StreamChunkCommand{
        call.exchange, RenderStreamError(error, call.identity.request_id),
        true});
    return;
  }
  ports_.callers(ErrorResponse(call.exchange, call.identity, error));
}

}  // namespace knapweedstile::node
