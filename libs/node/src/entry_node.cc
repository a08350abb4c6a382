#include "entry_node.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <set>
#include <utility>

#include "admin_api.h"
#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "outcome_errors.h"

namespace knapweedstile::node {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr size_t kTimelinePage = 5000;
constexpr size_t kMaxHeaderText = 256;
// What a restarting duty thread left behind is flushed at least this often.
constexpr std::chrono::milliseconds kIdleWake{100};
// After a watch that failed; the platform's outage must not be hammered.
constexpr std::chrono::milliseconds kWatchRetry{1000};

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
                     EntryPorts ports)
    : settings_(settings),
      ports_(std::move(ports)),
      incarnation_(seed),
      timeline_(settings.node.timeline_events),
      policies_(catalog_),
      platform_(ports_.platform),
      runner_(settings.scheduler, seed, timeline_, ports_.wire),
      online_(ports_, metrics_),
      services_(ports_, metrics_),
      shards_(ShardOwnerSettingsOf(settings), settings.shard_count,
              settings.node.name, seed, platform_),
      batch_items_(shards_, runner_, policies_, metrics_),
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
  const std::string_view path = PathOf(request.target);
  const auto api = ParseEnum<CompletionApi>(path);
  if (api && request.method == "POST") {
    BeginCompletion(now, request, *api);
  } else if (path == "/v1/models" && request.method == "GET") {
    ListModels(request);
  } else if (path.starts_with("/v1/batches")) {
    const CallerIdentity identity = IdentityOf(request);
    batch_calls_.Begin(now, std::move(request), identity,
                       now + settings_.submit_deadline);
  } else {
    BeginServiceCall(now, request);
  }
}

void EntryNode::BeginCompletion(TimePoint now,
                                const http::RequestEvent& request,
                                CompletionApi api) {
  const CallerIdentity identity = IdentityOf(request);
  const TokenLimits limits{settings_.default_max_tokens,
                           settings_.most_max_tokens};
  auto parsed = ParseCompletion(api, request.body, limits);
  if (const auto* error = std::get_if<ApiError>(&parsed)) {
    RespondError(request.exchange, identity, *error);
    return;
  }
  const auto& completion = std::get<CompletionRequest>(parsed);
  if (!Serves(completion.model)) {
    RespondError(request.exchange, identity, NoSuchModel(completion.model));
    return;
  }
  const RequestId id(++last_id_);
  exchanges_[request.exchange] = id;
  exchange_of_[id] = request.exchange;
  auto prepared =
      online_.Begin(id, request, completion, identity,
                    policies_.RouteOf(identity.workspace, completion.model),
                    DeadlineOf(request));
  runner_.Submit(now, std::move(prepared.info), std::move(prepared.message));
}

void EntryNode::BeginServiceCall(TimePoint now,
                                 const http::RequestEvent& request) {
  const CallerIdentity identity = IdentityOf(request);
  const objects::Service* service =
      catalog_.ServiceForPath(PathOf(request.target));
  if (service == nullptr) {
    RespondError(request.exchange, identity, NoSuchPath());
    return;
  }
  const bool idempotent =
      objects::IsIdempotent(*service, request.method, PathOf(request.target));
  const RequestId id(++last_id_);
  exchanges_[request.exchange] = id;
  exchange_of_[id] = request.exchange;
  auto prepared =
      services_.Begin(id, request, *service, idempotent, identity,
                      policies_.RouteOf(identity.workspace, service->name),
                      request.received_at + service->timeout);
  runner_.Submit(now, std::move(prepared.info), std::move(prepared.message));
}

void EntryNode::ListModels(const http::RequestEvent& request) {
  std::set<std::string> models;
  for (const auto& [name, server] : servers_) {
    const bool model = !catalog_.services().contains(server.target);
    if (model && server.state == BackendServerState::kIn) {
      models.insert(server.target);
    }
  }
  ports_.callers(JsonResponse(
      request.exchange, kOk,
      RenderModels(std::vector<std::string>(models.begin(), models.end()))));
}

void EntryNode::OnCallerDisconnect(TimePoint now, ExchangeId exchange) {
  batch_calls_.Forget(exchange);
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return;
  const RequestId id = found->second;
  exchanges_.erase(found);
  exchange_of_.erase(id);
  online_.Forget(id);
  services_.Forget(id);
  runner_.Cancel(now, id);
}

void EntryNode::RespondError(ExchangeId exchange,
                             const CallerIdentity& identity,
                             const ApiError& error) {
  http::RespondCommand command = JsonResponse(
      exchange, error.status, RenderError(error, identity.request_id));
  command.headers.Add("X-Request-Id", identity.request_id);
  AddRetryAfter(error, command.headers);
  ports_.callers(std::move(command));
}

CallerIdentity EntryNode::IdentityOf(const http::RequestEvent& request) {
  const auto text = [&](std::string_view name) {
    return std::string(request.headers.Find(name).substr(0, kMaxHeaderText));
  };
  CallerIdentity identity;
  identity.workspace = text("X-Workspace");
  if (identity.workspace.empty()) identity.workspace = "default";
  identity.caller = text("X-Caller");
  identity.request_id = text("X-Request-Id");
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

bool EntryNode::Serves(const std::string& target) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
    return entry.second.target == target;
  });
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
    if (const auto call = exchange_of_.extract(id)) {
      exchanges_.erase(call.mapped());
    }
  }
  if (batch_ended) FillBatch(now);
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
    if (BackendServer* server = FindServer(up->peer)) {
      LogInfo("sidecar_connected", {{"vm", server->name}});
      server->connected = true;
      server->healthy = false;  // until its first heartbeat
      server->leaving = false;  // a new connection tells anew
      Reconsider(now, *server);
    }
  } else if (const auto* down = std::get_if<wire::PeerDownEvent>(&event)) {
    if (BackendServer* server = FindServer(down->peer)) {
      if (server->connected) {
        LogInfo("sidecar_disconnected",
                {{"vm", server->name}, {"reason", NameOf(down->reason)}});
      }
      server->connected = false;
      Reconsider(now, *server);
    }
  } else if (const auto* control = std::get_if<wire::ControlEvent>(&event)) {
    BackendServer* server = FindServer(control->peer);
    if (server != nullptr && control->control.has_heartbeat()) {
      OnHeartbeat(now, *server, control->control.heartbeat());
    }
  }
  PassOnEvents(now);
}

void EntryNode::OnHeartbeat(TimePoint now, BackendServer& server,
                            const pb::Heartbeat& heartbeat) {
  server.healthy = heartbeat.backend_server_healthy();
  server.leaving = server.leaving || heartbeat.leaving();
  Reconsider(now, server);
  if (heartbeat.has_load()) {
    server.load = heartbeat.load();
    runner_.OnLoad(now, server.id, heartbeat.load());
  }
}

void EntryNode::Reconsider(TimePoint now, BackendServer& server) {
  BackendServerState state = BackendServerState::kDown;
  if (server.connected && server.healthy) state = BackendServerState::kIn;
  if (server.connected && server.leaving) state = BackendServerState::kLeaving;
  if (state == server.state) return;
  LogInfo("backend_server_state", {{"vm", server.name},
                                   {"from", NameOf(server.state)},
                                   {"to", NameOf(state)}});
  server.state = state;
  switch (state) {
    case BackendServerState::kIn:
      server.pools.clear();
      Enlist(now, server);
      break;
    case BackendServerState::kLeaving:
      runner_.OnBackendServerLeaving(now, server.id);
      break;
    case BackendServerState::kDown:
    case BackendServerState::kSilent:
      runner_.OnBackendServerDown(now, server.id);
      break;
  }
}

BackendServer* EntryNode::FindServer(PeerId peer) {
  const auto name = peers_.find(peer);
  return name == peers_.end() ? nullptr : &servers_.at(name->second);
}

void EntryNode::OnPlatform(TimePoint now, platform::StoreAnswer&& answer) {
  platform_.OnAnswer(now, std::move(answer));
  PassOnEvents(now);
}

void EntryNode::ReadVmList(TimePoint now) {
  if (reading_vm_list_ || now < next_vm_list_) return;
  reading_vm_list_ = true;
  platform_.Call(
      {0, platform::VmListRequest{}, now + settings_.platform_deadline},
      [this](TimePoint at, platform::StoreAnswer&& answer) {
        reading_vm_list_ = false;
        next_vm_list_ = at + settings_.vm_list_period;
        if (answer.outcome == platform::StoreOutcome::kOk) {
          OnVmList(at, answer.vms);
        }
      });
}

void EntryNode::WatchConfig(TimePoint now) {
  if (watching_ || now < next_watch_) return;
  watching_ = true;
  platform::WatchRequest watch;
  for (const std::string_view kind : kEnumNames<objects::ObjectKind>) {
    watch.kinds.emplace_back(kind);
  }
  watch.after = config_revision_;
  watch.wait_until = now + settings_.watch_wait;
  platform_.Call({0, std::move(watch),
                  now + settings_.watch_wait + settings_.platform_deadline},
                 [this](TimePoint at, platform::StoreAnswer&& answer) {
                   watching_ = false;
                   const bool answered =
                       answer.outcome == platform::StoreOutcome::kOk;
                   next_watch_ = answered ? at : at + kWatchRetry;
                   if (answered) OnConfig(at, answer);
                 });
}

void EntryNode::OnConfig(TimePoint now, const platform::StoreAnswer& answer) {
  bool changed = false;
  for (const platform::StoredObject& object : answer.objects) {
    const objects::ApplyResult result = catalog_.Apply(
        object.kind, object.name, object.version, object.value, object.deleted);
    LogInfo("config", {{"kind", object.kind},
                       {"name", object.name},
                       {"version", object.version},
                       {"outcome", NameOf(result.outcome)}});
    changed |= result.outcome == objects::ApplyOutcome::kAccepted;
  }
  config_revision_ = std::max(config_revision_, answer.revision);
  if (!changed) return;
  for (auto& [name, server] : servers_) {
    if (server.state == BackendServerState::kIn) Enlist(now, server);
  }
}

// Also for a server that is in: its pools may have changed.
void EntryNode::Enlist(TimePoint now, BackendServer& server) {
  auto pools =
      policies_.PoolsOf(server.name, server.availability_zone, server.target);
  if (pools == server.pools) return;
  server.pools = pools;
  runner_.OnBackendServerUp(now, server.id, std::move(pools),
                            server.availability_zone);
}

void EntryNode::OnVmList(TimePoint now, const std::vector<platform::Vm>& vms) {
  vm_list_known_ = true;
  std::vector<std::string> entries;
  for (const platform::Vm& vm : vms) {
    if (vm.role == "entry" && vm.state == platform::VmState::kLive) {
      entries.push_back(vm.name);
    }
  }
  shards_.SetEntries(now, entries);
  for (const platform::Vm& vm : vms) {
    if (vm.role != "sidecar") continue;
    BackendServer& server = servers_[vm.name];
    if (!server.id) {
      server.id = BackendServerId(++last_id_);
      server.name = vm.name;
      server.availability_zone = vm.availability_zone;
      server.target = vm.target;
      peers_[PeerId(server.id.value())] = vm.name;
    }
    if (server.address != vm.address) {
      const PeerId peer(server.id.value());
      if (!server.address.empty()) ports_.wire(wire::DisconnectCommand{peer});
      server.address = vm.address;
      ports_.wire(wire::ConnectCommand{peer, vm.address});
    }
    if (vm.state == platform::VmState::kLeaving) {
      server.leaving = true;
      Reconsider(now, server);
    }
  }
}

void EntryNode::OnTick(TimePoint now) {
  runner_.OnTick(now);
  ReadVmList(now);
  WatchConfig(now);
  shards_.Tick(now);
  batch_calls_.Tick(now);
  FillBatch(now);
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + settings_.node.heartbeat_period / 2;
    wire::SetHeartbeatCommand command;
    command.heartbeat.set_leaving(draining_);
    ports_.wire(std::move(command));
  }
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
}

TimePoint EntryNode::NextWake() const {
  return std::min({runner_.NextWake(), batch_calls_.NextWake(), next_heartbeat_,
                   MonotonicNow() + kIdleWake});
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
         batch_calls_.size() == 0 && leases_gone;
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
    const bool ready = vm_list_known_ && !draining_;
    const char* reason = draining_ ? "draining\n" : "fleet not known yet\n";
    ports_.admin(TextResponse(exchange, ready ? kOk : kUnavailable,
                              ready ? "ready\n" : reason));
  } else if (path == "/metrics") {
    metrics_.Set("knap_entry_open_requests",
                 static_cast<double>(runner_.open_requests()));
    std::map<BackendServerState, double> counts;
    for (const auto& [name, server] : servers_) ++counts[server.state];
    for (const auto& [state, count] : counts) {
      metrics_.Set("knap_entry_backend_servers", count,
                   {std::string(NameOf(state))});
    }
    ports_.admin(TextResponse(exchange, kOk, metrics_.Render()));
  } else if (path == "/status") {
    ports_.admin(JsonResponse(exchange, kOk, StatusJson()));
  } else if (path == "/timeline") {
    ports_.admin(JsonResponse(
        exchange, kOk, TimelineJson(QueryNumber(request.target, "after", 0))));
  } else if (path == "/drain" && request.method == "POST") {
    BeginDrain(now);
    ports_.admin(TextResponse(exchange, kOk, "draining\n"));
  } else {
    ports_.admin(TextResponse(exchange, kNotFound, "no such page\n"));
  }
}

std::string EntryNode::StatusJson() const {
  json::array servers;
  for (const auto& [name, server] : servers_) {
    servers.push_back({{"name", name},
                       {"target", server.target},
                       {"availability_zone", server.availability_zone},
                       {"state", NameOf(server.state)},
                       {"load",
                        {{"slots", server.load.slots()},
                         {"online_running", server.load.online_running()},
                         {"online_waiting", server.load.online_waiting()},
                         {"batch_running", server.load.batch_running()},
                         {"batch_waiting", server.load.batch_waiting()}}}});
  }
  return json::serialize(
      json::value{{"node", settings_.node.name},
                  {"role", "entry"},
                  {"availability_zone", settings_.node.availability_zone},
                  {"incarnation", HexOf(incarnation_)},
                  {"draining", draining_},
                  {"open_requests", runner_.open_requests()},
                  {"config_revision", catalog_.revision()},
                  {"config_digest", HexOf(catalog_.digest())},
                  {"backend_servers", std::move(servers)},
                  {"shards", ShardsJson()}});
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

std::string EntryNode::TimelineJson(uint64_t after) const {
  const json::value head{{"node", settings_.node.name},
                         {"wall_clock_nanos", WallClockNanos()},
                         {"last", timeline_.last_sequence()},
                         {"peers", json::array()}};
  std::string text = json::serialize(head);
  text.pop_back();
  return text + ",\"events\":" + timeline_.EventsJson(after, kTimelinePage) +
         "}";
}

}  // namespace knapweedstile::node
