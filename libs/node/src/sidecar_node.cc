#include "sidecar_node.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <type_traits>
#include <utility>

#include "admin_api.h"
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "decide/request_info.h"

namespace knapweedstile::node {
namespace {

namespace json = boost::json;
using decide::AttemptOutcome;

constexpr std::string_view kCompletionsPath = "/v1/completions";
// A probe that takes longer says "not healthy".
constexpr std::chrono::milliseconds kProbeTimeout{1000};

TimePoint DeadlineOf(uint64_t budget_ms, TimePoint now) {
  return budget_ms == 0 ? kNever : now + std::chrono::milliseconds(budget_ms);
}

decide::RequestInfo InfoOf(RequestId id, const pb::RunRequest& message,
                           TimePoint now) {
  decide::RequestInfo info;
  info.id = id;
  info.traffic_class = message.traffic_class() == pb::TRAFFIC_CLASS_BATCH
                           ? TrafficClass::kBatch
                           : TrafficClass::kOnline;
  info.workspace = message.workspace();
  info.caller = message.caller();
  info.target = message.target();
  // What it produced elsewhere is context to compute and is not produced again.
  const uint32_t resumed = message.resume_tokens();
  info.prompt_tokens = message.prompt_tokens() + resumed;
  info.max_tokens =
      message.max_tokens() - std::min(resumed, message.max_tokens());
  info.deadline = DeadlineOf(message.budget_ms(), now);
  info.due = DeadlineOf(message.due_ms(), now);
  info.fingerprint = message.fingerprint();
  info.idempotent = message.idempotent();
  return info;
}

}  // namespace

SidecarNode::SidecarNode(const SidecarNodeSettings& settings, uint64_t seed,
                         TimePoint now, Ports ports)
    : settings_(settings),
      ports_(std::move(ports)),
      incarnation_(seed),
      gate_(settings.gate, seed),
      timeline_(settings.node.timeline_events),
      config_(settings_, seed, now, ports_.wire) {
  metrics_.DeclareCounter("knap_sidecar_requests_total",
                          "Requests by class and how they ended here.",
                          {"class", "end"});
  metrics_.DeclareCounter("knap_sidecar_tokens_total",
                          "Tokens produced by the backend server.", {"class"});
  metrics_.DeclareCounter("knap_sidecar_parks_total",
                          "Batch streams cancelled to make room for online.");
  metrics_.DeclareGauge("knap_sidecar_running",
                        "Requests running at the backend server.", {"class"});
  metrics_.DeclareGauge("knap_sidecar_waiting", "Requests waiting at the gate.",
                        {"class"});
  metrics_.DeclareGauge("knap_sidecar_backend_server_healthy",
                        "1 while the backend server answers its probes.");
  metrics_.DeclareHistogram("knap_sidecar_wait_seconds",
                            "From arrival here to the backend server.",
                            {"class"});
}

void SidecarNode::OnWire(TimePoint now, wire::TransportEvent&& event) {
  if (auto* opened = std::get_if<wire::StreamOpenedEvent>(&event)) {
    Take(now, std::move(*opened));
  } else if (const auto* closed =
                 std::get_if<wire::StreamClosedEvent>(&event)) {
    Drop(now, closed->stream);
  } else if (const auto* up = std::get_if<wire::PeerUpEvent>(&event)) {
    config_.OnPeerUp(now, *up);
  } else if (const auto* down = std::get_if<wire::PeerDownEvent>(&event)) {
    config_.OnPeerDown(now, *down);
  } else if (const auto* control = std::get_if<wire::ControlEvent>(&event)) {
    config_.OnControl(now, *control);
  }
  Perform(now);
  FollowConfig(now);
}

void SidecarNode::FollowConfig(TimePoint now) {
  if (config_.TakePolicyChange()) {
    Record("policy_in_force", "", config_.policy().name);
    gate_.OnPolicy(now, config_.policy(), actions_);
    Perform(now);
  }
  if (config_.TakeAnnouncement()) PublishHeartbeat(now);
}

void SidecarNode::Take(TimePoint now, wire::StreamOpenedEvent&& event) {
  const RequestId id(++last_id_);
  SidecarRequest request;
  request.stream = event.stream;
  request.message = std::move(event.request);
  request.arrived_at = now;
  request.deadline = DeadlineOf(request.message.budget_ms(), now);
  request.text = request.message.resume_text();
  request.tokens = request.message.resume_tokens();
  Record("sidecar_arrived", request.message.request_id());
  const decide::RequestInfo info = InfoOf(id, request.message, now);
  streams_[request.stream] = id;
  requests_.emplace(id, std::move(request));
  gate_.OnArrival(now, info, actions_);
}

// The entry cancelled, or the connection to it is gone.
void SidecarNode::Drop(TimePoint now, StreamId stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  const RequestId id = found->second;
  SidecarRequest& request = requests_.at(id);
  Record("sidecar_cancelled", request.message.request_id());
  metrics_.Add(
      "knap_sidecar_requests_total",
      {std::string(NameOf(InfoOf(id, request.message, now).traffic_class)),
       "cancelled"});
  StopRun(request);
  streams_.erase(found);
  requests_.erase(id);
  gate_.OnCancel(now, id, actions_);
}

void SidecarNode::Perform(TimePoint now) {
  while (!actions_.empty()) {
    const auto actions = std::exchange(actions_, {});
    for (const decide::GateAction& action : actions) {
      std::visit(
          [&](const auto& typed) {
            using Action = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Action, decide::StartAction>) {
              Start(now, typed.request);
            } else if constexpr (std::is_same_v<Action, decide::ParkAction>) {
              Park(typed.request);
            } else if constexpr (std::is_same_v<Action, decide::YieldAction>) {
              Yield(now, typed.request);
            } else {
              Refuse(now, typed.request, typed.refusal);
            }
          },
          action);
    }
  }
}

void SidecarNode::Start(TimePoint now, RequestId id) {
  SidecarRequest& request = requests_.at(id);
  const pb::RunRequest& message = request.message;
  http::ClientRequest call;
  call.exchange = ExchangeId(++last_id_);
  call.address = settings_.backend_server_address;
  call.stream_body = true;
  call.headers.Add("X-Request-Id", message.request_id());
  if (message.plain_service()) {
    call.method = message.method();
    call.target = message.path();
    for (const pb::Header& header : message.headers()) {
      call.headers.Add(header.name(), header.value());
    }
    call.body = message.body();
  } else {
    call.method = "POST";
    call.target =
        message.path().empty() ? std::string(kCompletionsPath) : message.path();
    call.headers.Add("Content-Type", "application/json");
    call.body = EngineBody(message.body(), request.text, request.tokens);
  }
  request.engine = EngineStream();
  request.status = 0;
  request.exchange = call.exchange;
  runs_[call.exchange] = id;
  Record(request.started_before ? "engine_resumed" : "engine_started",
         message.request_id(), std::to_string(request.tokens));
  if (!request.started_before) {
    request.started_before = true;
    metrics_.Observe(
        "knap_sidecar_wait_seconds", ToSeconds(now - request.arrived_at),
        {std::string(NameOf(InfoOf(id, message, now).traffic_class))});
    wire::SendEventCommand started{request.stream, {}, false};
    started.event.mutable_started()->set_waited_ms(
        ToMillis(now - request.arrived_at));
    ports_.wire(std::move(started));
  }
  ports_.backend_server(std::move(call));
}

void SidecarNode::StopRun(SidecarRequest& request) {
  if (!request.exchange) return;
  runs_.erase(request.exchange);
  // A plain service's call may have effects: it is left to complete, its answer
  // is dropped. A model's stream is cancelled, which frees its slot.
  if (!request.message.plain_service()) {
    ports_.cancel_backend_server(request.exchange);
  }
  request.exchange = {};
}

void SidecarNode::Park(RequestId id) {
  SidecarRequest& request = requests_.at(id);
  Record("engine_parked", request.message.request_id(),
         std::to_string(request.tokens));
  metrics_.Add("knap_sidecar_parks_total");
  StopRun(request);
}

void SidecarNode::Yield(TimePoint now, RequestId id) {
  SidecarRequest& request = requests_.at(id);
  StopRun(request);
  Record("sidecar_yielded", request.message.request_id(),
         std::to_string(request.tokens));
  pb::RunEvent event;
  event.mutable_yielded();
  Last(now, id, std::move(event));
}

void SidecarNode::Refuse(TimePoint now, RequestId id,
                         const decide::Refusal& refusal) {
  SidecarRequest& request = requests_.at(id);
  Record("sidecar_refused", request.message.request_id(),
         std::string(NameOf(refusal.reason)));
  pb::RunEvent event;
  event.mutable_refused()->set_reason(std::string(NameOf(refusal.reason)));
  event.mutable_refused()->set_retry_after_ms(
      ToMillis(Remaining(refusal.come_back_at, now)));
  Last(now, id, std::move(event));
}

void SidecarNode::OnBackendServer(TimePoint now, http::ClientEvent&& event) {
  if (auto* head = std::get_if<http::HeadEvent>(&event)) {
    const auto run = runs_.find(head->exchange);
    if (run == runs_.end()) return;
    SidecarRequest& request = requests_.at(run->second);
    request.status = head->status;
    request.headers = std::move(head->headers);
  } else if (auto* body = std::get_if<http::BodyEvent>(&event)) {
    const auto run = runs_.find(body->exchange);
    if (run == runs_.end()) return;
    OnBody(now, run->second, requests_.at(run->second), body->data);
  } else if (auto* end = std::get_if<http::EndEvent>(&event)) {
    if (end->exchange == probe_) {
      OnProbe(now, *end);
    } else if (const auto run = runs_.find(end->exchange); run != runs_.end()) {
      const RequestId id = run->second;
      runs_.erase(run);
      OnRunEnded(now, id, std::move(*end));
    }
  }
  Perform(now);
}

void SidecarNode::OnBody(TimePoint now, RequestId id, SidecarRequest& request,
                         const std::string& data) {
  constexpr unsigned kOk = 200;
  if (request.message.plain_service() || request.status != kOk) {
    SendOutput(request, data, 0);
    return;
  }
  const uint32_t before = request.engine.tokens();
  std::string text = request.engine.Feed(data);
  const uint32_t tokens = request.engine.tokens() - before;
  if (tokens == 0) return;
  request.text += text;
  request.tokens += tokens;
  gate_.OnOutput(now, id, tokens);
  metrics_.Add(
      "knap_sidecar_tokens_total",
      {std::string(NameOf(InfoOf(id, request.message, now).traffic_class))},
      tokens);
  SendOutput(request, std::move(text), tokens);
}

void SidecarNode::SendOutput(SidecarRequest& request, std::string data,
                             uint32_t tokens) {
  wire::SendEventCommand output{request.stream, {}, false};
  output.event.mutable_output()->set_data(std::move(data));
  output.event.mutable_output()->set_tokens(tokens);
  ports_.wire(std::move(output));
}

void SidecarNode::OnRunEnded(TimePoint now, RequestId id,
                             http::EndEvent&& end) {
  SidecarRequest& request = requests_.at(id);
  request.exchange = {};
  constexpr unsigned kOk = 200;
  const bool model_answer =
      !request.message.plain_service() && request.status == kOk;
  const bool whole = end.outcome == http::ClientOutcome::kComplete &&
                     (!model_answer ||
                      (request.engine.finished() && !request.engine.broken()));
  if (whole) {
    if (request.status == 0) request.status = end.status;
    Finish(now, id);
  } else if (end.outcome == http::ClientOutcome::kNotSent) {
    pb::RunEvent event;
    event.mutable_refused()->set_reason(
        std::string(NameOf(decide::RefusalReason::kNoBackendServer)));
    SetHealthy(now, false);
    gate_.OnEnded(now, id, actions_);
    Last(now, id, std::move(event));
  } else {
    // Lost without an answer. Whether the backend server went down with it is
    // what the quarantine of requests that crash servers needs to know; the
    // probe that answers it is sent at once.
    suspects_.push_back(id);
    Probe(now);
  }
}

void SidecarNode::Finish(TimePoint now, RequestId id) {
  SidecarRequest& request = requests_.at(id);
  pb::RunEvent event;
  pb::Finished& finished = *event.mutable_finished();
  finished.set_status(request.status);
  for (const auto& [name, value] : request.headers.fields()) {
    pb::Header& header = *finished.add_headers();
    header.set_name(name);
    header.set_value(value);
  }
  finished.set_finish_reason(request.engine.finish_reason());
  finished.set_completion_tokens(request.tokens);
  finished.set_prompt_tokens(request.engine.prompt_tokens());
  Record("engine_finished", request.message.request_id(),
         std::to_string(request.tokens));
  gate_.OnEnded(now, id, actions_);
  Last(now, id, std::move(event));
}

void SidecarNode::Fail(TimePoint now, RequestId id, AttemptOutcome outcome,
                       std::string message) {
  SidecarRequest& request = requests_.at(id);
  Record("engine_lost", request.message.request_id(),
         std::string(NameOf(outcome)));
  pb::RunEvent event;
  event.mutable_failed()->set_outcome(std::string(NameOf(outcome)));
  event.mutable_failed()->set_message(std::move(message));
  gate_.OnEnded(now, id, actions_);
  Last(now, id, std::move(event));
}

void SidecarNode::Last(TimePoint now, RequestId id, pb::RunEvent&& event) {
  const auto found = requests_.find(id);
  constexpr std::string_view kEnds[] = {
      "none", "started", "output", "finished", "refused", "yielded", "failed"};
  metrics_.Add("knap_sidecar_requests_total",
               {std::string(NameOf(
                    InfoOf(id, found->second.message, now).traffic_class)),
                std::string(kEnds[event.kind_case()])});
  *event.mutable_load() = LoadNow(now);
  ports_.wire(
      wire::SendEventCommand{found->second.stream, std::move(event), true});
  streams_.erase(found->second.stream);
  requests_.erase(found);
}

void SidecarNode::OnTick(TimePoint now) {
  gate_.OnTick(now, actions_);
  Perform(now);
  config_.OnTick(now);
  FollowConfig(now);
  if (now >= next_probe_) Probe(now);
  if (now >= next_heartbeat_) PublishHeartbeat(now);
}

void SidecarNode::Probe(TimePoint now) {
  next_probe_ = now + settings_.health_period;
  if (probe_) return;
  probe_ = ExchangeId(++last_id_);
  http::ClientRequest call;
  call.exchange = probe_;
  call.address = settings_.backend_server_address;
  call.target = "/health";
  call.deadline = now + kProbeTimeout;
  ports_.backend_server(std::move(call));
}

void SidecarNode::OnProbe(TimePoint now, const http::EndEvent& end) {
  probe_ = {};
  // A plain service need not know /health: any answer shows that it is up.
  constexpr unsigned kServerError = 500;
  const bool up = end.outcome == http::ClientOutcome::kComplete &&
                  end.status < kServerError;
  for (const RequestId id : std::exchange(suspects_, {})) {
    if (requests_.find(id) == requests_.end()) continue;
    Fail(now, id, up ? AttemptOutcome::kUnknown : AttemptOutcome::kCrashed,
         up ? "the backend server cut the answer"
            : "the backend server went down while it ran this request");
  }
  SetHealthy(now, up);
}

void SidecarNode::SetHealthy(TimePoint now, bool healthy) {
  if (healthy_ == healthy) return;
  healthy_ = healthy;
  LogInfo(healthy ? "backend_server_up" : "backend_server_down",
          {{"address", settings_.backend_server_address}});
  Record(healthy ? "backend_server_up" : "backend_server_down", "");
  gate_.OnBackendServerHealth(now, healthy, actions_);
  Perform(now);
  PublishHeartbeat(now);
}

void SidecarNode::BeginDrain(TimePoint now) {
  if (draining_) return;
  draining_ = true;
  drain_began_ = now;
  LogInfo("drain_began", {{"open", requests_.size()}});
  Record("drain_began", "");
  gate_.OnDrain(now, actions_);
  Perform(now);
  PublishHeartbeat(now);
}

bool SidecarNode::Drained() const {
  return draining_ && requests_.empty() &&
         MonotonicNow() >= drain_began_ + settings_.node.drain_notice;
}

TimePoint SidecarNode::NextWake() const {
  return std::min({gate_.NextWake(), config_.NextWake(MonotonicNow()),
                   next_probe_, next_heartbeat_});
}

pb::Load SidecarNode::LoadNow(TimePoint now) const {
  const decide::LoadReport report = gate_.Load(now);
  pb::Load load;
  load.set_slots(report.slots);
  load.set_online_running(report.online_running);
  load.set_online_waiting(report.online_waiting);
  load.set_batch_running(report.batch_running);
  load.set_batch_waiting(report.batch_waiting);
  load.set_age_ms(static_cast<uint32_t>(
      std::max<int64_t>(0, ToMillis(now - report.measured_at))));
  return load;
}

void SidecarNode::PublishHeartbeat(TimePoint now) {
  next_heartbeat_ = now + settings_.node.heartbeat_period / 2;
  wire::SetHeartbeatCommand command;
  command.heartbeat.set_leaving(draining_);
  command.heartbeat.set_backend_server_healthy(healthy_);
  *command.heartbeat.mutable_load() = LoadNow(now);
  config_.Announce(now, command.heartbeat);
  ports_.wire(std::move(command));
}

void SidecarNode::OnAdmin(TimePoint now, http::ServerEvent&& event) {
  if (const auto* request = std::get_if<http::RequestEvent>(&event)) {
    AnswerAdmin(now, *request);
  }
}

void SidecarNode::AnswerAdmin(TimePoint now,
                              const http::RequestEvent& request) {
  const std::string_view path = PathOf(request.target);
  constexpr unsigned kOk = 200;
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kUnavailable = 503;
  const ExchangeId exchange = request.exchange;
  if (path == "/healthz") {
    ports_.admin(TextResponse(exchange, kOk, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = healthy_ && !draining_;
    const char* reason = draining_ ? "draining\n" : "backend server is down\n";
    ports_.admin(TextResponse(exchange, ready ? kOk : kUnavailable,
                              ready ? "ready\n" : reason));
  } else if (path == "/metrics") {
    const decide::LoadReport load = gate_.Load(now);
    metrics_.Set("knap_sidecar_running", load.online_running, {"online"});
    metrics_.Set("knap_sidecar_running", load.batch_running, {"batch"});
    metrics_.Set("knap_sidecar_waiting", load.online_waiting, {"online"});
    metrics_.Set("knap_sidecar_waiting", load.batch_waiting, {"batch"});
    metrics_.Set("knap_sidecar_backend_server_healthy", healthy_ ? 1 : 0);
    ports_.admin(TextResponse(exchange, kOk, metrics_.Render()));
  } else if (path == "/status") {
    ports_.admin(JsonResponse(exchange, kOk, StatusJson(now)));
  } else if (path == "/timeline") {
    ports_.admin(
        JsonResponse(exchange, kOk,
                     TimelinePage(settings_.node.name, timeline_, json::array(),
                                  QueryNumber(request.target, "after", 0))));
  } else if (path == "/drain" && request.method == "POST") {
    BeginDrain(now);
    ports_.admin(TextResponse(exchange, kOk, "draining\n"));
  } else {
    ports_.admin(TextResponse(exchange, kNotFound, "no such page\n"));
  }
}

std::string SidecarNode::StatusJson(TimePoint now) const {
  const decide::LoadReport load = gate_.Load(now);
  return json::serialize(
      json::value{{"node", settings_.node.name},
                  {"role", "sidecar"},
                  {"availability_zone", settings_.node.availability_zone},
                  {"incarnation", HexOf(incarnation_)},
                  {"target", settings_.target},
                  {"draining", draining_},
                  {"backend_server_healthy", healthy_},
                  {"policy", config_.policy().name},
                  {"config_revision", config_.revision()},
                  {"config_digest", HexOf(config_.digest())},
                  {"load",
                   {{"slots", load.slots},
                    {"online_running", load.online_running},
                    {"online_waiting", load.online_waiting},
                    {"batch_running", load.batch_running},
                    {"batch_waiting", load.batch_waiting}}}});
}

void SidecarNode::Record(const char* name, const std::string& request,
                         std::string detail) {
  observe::TimelineEvent event;
  event.wall_clock_nanos = WallClockNanos();
  event.name = name;
  event.request = request;
  if (!detail.empty()) event.args.emplace_back("detail", std::move(detail));
  timeline_.Record(std::move(event));
}

}  // namespace knapweedstile::node
