#include "entry_node.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <utility>

#include "admin_api.h"
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "caller_access.h"
#include "error_response.h"

namespace knapweedstile::node {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
// What a restarting duty thread left behind is flushed at least this often.
constexpr std::chrono::milliseconds kIdleWake{100};

ApiError NoSuchModel(const std::string& model) {
  return {kNotFound,         "invalid_request_error",
          "model_not_found", "no backend server offers the model " + model,
          "model",           RunTruth::kNotRun,
          std::nullopt};
}

ApiError NoSuchPath() {
  return {kNotFound, "invalid_request_error", "unknown_path", "no such path",
          "",        RunTruth::kNotRun,       std::nullopt};
}

jobs::SubmissionSettings SubmissionSettingsOf(
    const EntryNodeSettings& settings) {
  jobs::SubmissionSettings submission;
  submission.shard_count = settings.shard_count;
  submission.max_items = settings.max_items;
  return submission;
}

}  // namespace

EntryNode::EntryNode(const EntryNodeSettings& settings, uint64_t seed,
                     TimePoint now, EntryPorts ports)
    : settings_(settings),
      ports_(std::move(ports)),
      incarnation_(seed),
      timeline_(settings.node.timeline_events),
      platform_(ports_.platform),
      runner_(settings.scheduler, seed, timeline_, ports_.wire),
      fleet_(settings_, seed, now, ports_, platform_, runner_,
             [this](TimePoint at, const std::vector<std::string>& entries) {
               shards_.SetEntries(at, entries);
             }),
      online_(ports_, metrics_, fleet_),
      services_(ports_, metrics_, runner_, platform_, seed,
                [this](RequestId id) { EndExchange(id); }),
      shards_(ShardOwnerSettingsOf(settings), settings.shard_count,
              settings.node.name, seed, platform_),
      batch_items_(shards_, runner_, fleet_, metrics_),
      batch_calls_(ports_, platform_, SubmissionSettingsOf(settings), seed,
                   [this](TimePoint now, const jobs::JobId& id) {
                     if (id.shard < shards_.count()) {
                       shards_.PollSoon(id.shard, now);
                     }
                   }) {
  metrics_.DeclareGauge("knap_entry_open_requests",
                        "Requests that have no final answer yet.");
  metrics_.DeclareGauge("knap_entry_backend_servers",
                        "Backend servers by state.", {"state"});
}

void EntryNode::OnCallers(TimePoint now, http::ServerEvent&& event) {
  if (auto* request = std::get_if<http::RequestEvent>(&event)) {
    OnCallerRequest(now, std::move(*request));
  } else if (const auto* gone = std::get_if<http::DisconnectEvent>(&event)) {
    OnCallerDisconnect(now, gone->exchange);
  }
  PassOnEvents(now);
}

void EntryNode::OnCallerRequest(TimePoint now, http::RequestEvent&& request) {
  const CallerIdentity identity = IdentityOf(request);
  const WorkspaceRule rule = settings_.require_workspace
                                 ? WorkspaceRule::kObjectsOnly
                                 : WorkspaceRule::kAnyName;
  if (const auto denied =
          CheckAccess(request.headers, identity, rule, fleet_.catalog())) {
    RespondError(request.exchange, identity, *denied);
    return;
  }
  const std::string_view path = PathOf(request.target);
  const auto api = ParseEnum<CompletionApi>(path);
  if (api && request.method == "POST") {
    BeginCompletion(now, request, identity, *api);
  } else if (path == "/v1/models" && request.method == "GET") {
    ListModels(request);
  } else if (path.starts_with("/v1/batches")) {
    batch_calls_.Begin(now, std::move(request), identity,
                       now + settings_.submit_deadline);
  } else {
    BeginServiceCall(now, request, identity);
  }
}

void EntryNode::BeginCompletion(TimePoint now,
                                const http::RequestEvent& request,
                                const CallerIdentity& identity,
                                CompletionApi api) {
  const TokenLimits limits{settings_.default_max_tokens,
                           settings_.most_max_tokens};
  auto parsed = ParseCompletion(api, request.body, limits);
  if (const auto* error = std::get_if<ApiError>(&parsed)) {
    RespondError(request.exchange, identity, *error);
    return;
  }
  const auto& completion = std::get<CompletionRequest>(parsed);
  if (const auto denied =
          CheckModel(identity, completion.model, fleet_.catalog())) {
    RespondError(request.exchange, identity, *denied);
    return;
  }
  if (!fleet_.Serves(completion.model)) {
    RespondError(request.exchange, identity, NoSuchModel(completion.model));
    return;
  }
  const RequestId id(++last_id_);
  exchanges_[request.exchange] = id;
  exchange_of_[id] = request.exchange;
  auto prepared = online_.Begin(
      id, request, completion, identity,
      fleet_.policies().RouteOf(identity.workspace, completion.model),
      DeadlineOf(request));
  runner_.Submit(now, std::move(prepared.info), std::move(prepared.message));
}

void EntryNode::BeginServiceCall(TimePoint now,
                                 const http::RequestEvent& request,
                                 const CallerIdentity& identity) {
  const objects::Service* service =
      fleet_.catalog().ServiceForPath(PathOf(request.target));
  if (service == nullptr) {
    RespondError(request.exchange, identity, NoSuchPath());
    return;
  }
  const RequestId id(++last_id_);
  exchanges_[request.exchange] = id;
  exchange_of_[id] = request.exchange;
  services_.Begin(now, id, request, *service, identity,
                  fleet_.policies().RouteOf(identity.workspace, service->name));
}

void EntryNode::ListModels(const http::RequestEvent& request) {
  ports_.callers(
      JsonResponse(request.exchange, kOk, RenderModels(fleet_.Models())));
}

void EntryNode::OnCallerDisconnect(TimePoint now, ExchangeId exchange) {
  batch_calls_.Forget(exchange);
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return;
  const RequestId id = found->second;
  exchanges_.erase(found);
  exchange_of_.erase(id);
  if (online_.Forget(id) || services_.Forget(id)) runner_.Cancel(now, id);
}

void EntryNode::RespondError(ExchangeId exchange,
                             const CallerIdentity& identity,
                             const ApiError& error) {
  ports_.callers(ErrorResponse(exchange, identity, error));
}

CallerIdentity EntryNode::IdentityOf(const http::RequestEvent& request) {
  CallerIdentity identity = ReadIdentity(request.headers, fleet_.catalog());
  if (identity.request_id.empty()) {
    identity.request_id = settings_.node.name + "-" +
                          HexOf(incarnation_).substr(0, 8) + "-" +
                          std::to_string(++last_id_);
  }
  return identity;
}

TimePoint EntryNode::DeadlineOf(const http::RequestEvent& request) const {
  const std::string_view text = request.headers.Find("X-Deadline-Ms");
  int64_t millis = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  constexpr int64_t kMostMillis = 86'400'000;
  const bool valid = !text.empty() && parsed.ec == std::errc() && millis > 0 &&
                     millis <= kMostMillis;
  return request.received_at + (valid ? std::chrono::milliseconds(millis)
                                      : settings_.online_deadline);
}

void EntryNode::PassOnEvents(TimePoint now) {
  bool batch_ended = false;
  for (const RequestEvent& event : runner_.TakeEvents()) {
    const bool ended = !std::holds_alternative<RequestOutputEvent>(event);
    if (batch_items_.OnEvent(now, event)) {
      batch_ended |= ended;
      continue;
    }
    if (!online_.OnEvent(now, event)) services_.OnEvent(now, event);
    if (!ended) continue;
    const RequestId id =
        std::visit([](const auto& typed) { return typed.request; }, event);
    EndExchange(id);
  }
  if (batch_ended) FillBatch(now);
}

void EntryNode::EndExchange(RequestId id) {
  if (const auto call = exchange_of_.extract(id)) {
    exchanges_.erase(call.mapped());
  }
}

// Idle room lasts only moments, so it is refilled when an item ends as well as
// at each tick.
void EntryNode::FillBatch(TimePoint now) {
  if (draining_) return;
  batch_items_.Fill(now, [this] { return RequestId(++last_id_); });
}

void EntryNode::OnWire(TimePoint now, wire::TransportEvent&& event) {
  if (auto* output = std::get_if<wire::StreamEvent>(&event)) {
    runner_.OnStreamEvent(now, std::move(*output));
  } else if (const auto* closed =
                 std::get_if<wire::StreamClosedEvent>(&event)) {
    runner_.OnStreamClosed(now, *closed);
  } else if (const auto* up = std::get_if<wire::PeerUpEvent>(&event)) {
    fleet_.OnPeerUp(now, *up);
  } else if (const auto* down = std::get_if<wire::PeerDownEvent>(&event)) {
    fleet_.OnPeerDown(now, *down);
  } else if (const auto* control = std::get_if<wire::ControlEvent>(&event)) {
    fleet_.OnControl(now, *control);
  }
  PassOnEvents(now);
}

void EntryNode::OnPlatform(TimePoint now, platform::StoreAnswer&& answer) {
  platform_.OnAnswer(now, std::move(answer));
  PassOnEvents(now);
}

void EntryNode::OnTick(TimePoint now) {
  runner_.OnTick(now);
  fleet_.OnTick(now);
  shards_.Tick(now);
  batch_calls_.Tick(now);
  services_.Tick(now);
  FillBatch(now);
  if (draining_ && accepting_ &&
      now >= drain_began_ + settings_.node.drain_notice) {
    accepting_ = false;
    ports_.stop_accepting();
  }
  PassOnEvents(now);
}

void EntryNode::BeginDrain(TimePoint now) {
  if (draining_) return;
  draining_ = true;
  drain_began_ = now;
  LogInfo("drain_began", {{"open", runner_.open_requests()}});
  shards_.Release(now);
  fleet_.BeginLeaving();
}

TimePoint EntryNode::NextWake() const {
  const TimePoint now = MonotonicNow();
  return std::min({runner_.NextWake(), batch_calls_.NextWake(),
                   services_.NextWake(), fleet_.NextWake(now),
                   now + kIdleWake});
}

bool EntryNode::Drained(TimePoint now) const {
  if (!draining_) return false;
  if (now >= drain_began_ + settings_.node.drain_limit) return true;
  // A platform that is out cannot take the leases back: they lapse by
  // themselves after a term, so there is no use in waiting longer for it.
  const bool leases_gone =
      shards_.Released() ||
      now >= drain_began_ + settings_.node.drain_notice + settings_.lease_term;
  return !accepting_ && runner_.open_requests() == 0 &&
         batch_calls_.size() == 0 && services_.size() == 0 && leases_gone;
}

void EntryNode::OnAdmin(TimePoint now, http::ServerEvent&& event) {
  if (const auto* request = std::get_if<http::RequestEvent>(&event)) {
    AnswerAdmin(now, *request);
  }
}

void EntryNode::AnswerAdmin(TimePoint now, const http::RequestEvent& request) {
  const std::string_view path = PathOf(request.target);
  const ExchangeId exchange = request.exchange;
  if (path == "/healthz") {
    ports_.admin(TextResponse(exchange, kOk, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = fleet_.ready() && !draining_;
    const char* reason =
        draining_ ? "draining\n" : "fleet or configuration not known yet\n";
    ports_.admin(TextResponse(exchange, ready ? kOk : kUnavailable,
                              ready ? "ready\n" : reason));
  } else if (path == "/metrics") {
    ports_.admin(TextResponse(exchange, kOk, MetricsText()));
  } else if (path == "/status") {
    ports_.admin(JsonResponse(exchange, kOk, StatusJson()));
  } else if (path == "/timeline") {
    ports_.admin(JsonResponse(
        exchange, kOk,
        TimelinePage(settings_.node.name, timeline_, fleet_.PeersJson(),
                     QueryNumber(request.target, "after", 0))));
  } else if (path == "/drain" && request.method == "POST") {
    BeginDrain(now);
    ports_.admin(TextResponse(exchange, kOk, "draining\n"));
  } else {
    ports_.admin(TextResponse(exchange, kNotFound, "no such page\n"));
  }
}

std::string EntryNode::MetricsText() {
  metrics_.Set("knap_entry_open_requests",
               static_cast<double>(runner_.open_requests()));
  for (const auto& [state, count] : fleet_.CountByState()) {
    metrics_.Set("knap_entry_backend_servers", count,
                 {std::string(NameOf(state))});
  }
  return metrics_.Render();
}

std::string EntryNode::StatusJson() const {
  json::array quarantine;
  for (const auto& [fingerprint, until] : runner_.Quarantined()) {
    quarantine.push_back(
        {{"fingerprint", HexOf(fingerprint)},
         {"remaining_ms", ToMillis(Remaining(until, MonotonicNow()))}});
  }
  json::object status{{"node", settings_.node.name},
                      {"role", "entry"},
                      {"availability_zone", settings_.node.availability_zone},
                      {"incarnation", HexOf(incarnation_)},
                      {"draining", draining_},
                      {"ready", fleet_.ready()},
                      {"open_requests", runner_.open_requests()},
                      {"backend_servers", fleet_.ServersJson()},
                      {"shards", ShardsJson()},
                      {"policies", fleet_.PoliciesJson()},
                      {"refused_objects", fleet_.RefusedJson()},
                      {"quarantine", std::move(quarantine)}};
  fleet_.AddConfigStatus(status);
  return json::serialize(status);
}

json::array EntryNode::ShardsJson() const {
  json::array shards;
  for (const auto& owner : shards_.owners()) {
    const std::string& seen = owner->lease().seen_holder();
    shards.push_back({{"shard", owner->shard()},
                      {"held", owner->held()},
                      {"holder", owner->held() ? settings_.node.name : seen},
                      {"fence", owner->held() ? owner->fence()
                                              : owner->lease().seen_fence()},
                      {"jobs", owner->open_jobs()},
                      {"in_flight", owner->in_flight()},
                      {"waiting", owner->waiting()}});
  }
  return shards;
}

}  // namespace knapweedstile::node
