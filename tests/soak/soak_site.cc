#include "soak_site.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "base/clock.h"
#include "batch_limits.h"
#include "soak_versions.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;
using users_site::ModelServer;

constexpr char kAnyPort[] = "127.0.0.1:0";
constexpr int kSlots = 16;
constexpr int kMaxBodyBytes = 4000000;
// The second service is smaller, and its weight at most this percentage.
constexpr int kSecondSlots = 8;
constexpr int kMaxSecondWeight = 25;
// A stream lasts about two seconds, long enough for a fault to interrupt it.
constexpr milliseconds kEventInterval{50};
constexpr milliseconds kFirstEventDelay{30};
// As in production load balancers: one probe per second; a gateway leaves the
// rotation after two failed probes.
constexpr milliseconds kProbeInterval{1000};
constexpr milliseconds kProbeTimeout{900};
constexpr int kMissedProbesToRemove = 2;
// The platform restarts a terminated process after this delay.
constexpr milliseconds kRestartDelay{400};
// A draining server is deregistered after this time and keeps serving for the
// same time after that.
constexpr milliseconds kDrainPeriod{3000};
// The registration of a silent server is removed after three missed heartbeats.
constexpr milliseconds kRegistrationLifetime{1200};

// How long a changing key is valid.
constexpr milliseconds kKeyLifetime{4500};

std::string ChangingKey(int number) { return fmt::format("key-{}", number); }

boost::json::array WorkspacesOf(const KeyOwners& keys) {
  boost::json::array usual;
  boost::json::array hot;
  for (const auto& [key, owner] : keys) {
    (owner == kHotWorkspace ? hot : usual).push_back(key.c_str());
  }
  return {{{"name", kUsualWorkspace}, {"api_keys", std::move(usual)}},
          {{"name", kHotWorkspace},
           {"api_keys", std::move(hot)},
           {"rate_per_s", kHotRate},
           {"burst", kHotBurst}}};
}

}  // namespace

SoakSite::SoakSite(const SoakSize& size, Findings& findings)
    : size_(size), findings_(findings) {
  site_.max_body_bytes = kMaxBodyBytes;
  site_.interpose = [this](const std::string& link,
                           const std::string& address) {
    return Interpose(link, address);
  };
  site_.environment = [this](const std::string& gateway) {
    return std::map<std::string, std::string>{
        {"LD_PRELOAD", KNAP_FAKETIME},
        {"FAKETIME_TIMESTAMP_FILE", ClockFile(gateway)},
        {"FAKETIME_CACHE_DURATION", "1"},
        {"DONT_FAKE_MONOTONIC", "1"},
        {"FAKETIME_DONT_FAKE_MONOTONIC", "1"}};
  };
}

std::string SoakSite::ClockFile(const std::string& gateway) const {
  return clocks_.File(gateway + ".clock");
}

void SoakSite::SetClockOffset(const std::string& gateway, int seconds) {
  std::ofstream(ClockFile(gateway)) << fmt::format("{:+d}", seconds) << '\n';
}

// One proxy per link. A server keeps its proxy when its process is replaced.
std::string SoakSite::Interpose(const std::string& link,
                                const std::string& address) {
  const bool server = link.starts_with("server/");
  auto& proxy = proxies_[server ? "server/" + address : link];
  if (!proxy) {
    proxy = std::make_unique<harness::Proxy>(site_.caller().io(), kAnyPort,
                                             address);
  }
  return fmt::format("127.0.0.1:{}", proxy->port());
}

harness::Proxy* SoakSite::ProxyOf(const std::string& link) {
  const auto found = proxies_.find(link);
  return found == proxies_.end() ? nullptr : found->second.get();
}

std::string SoakSite::GatewayAtStore(std::string_view address) const {
  for (const std::string& gateway : gateways_) {
    const auto found = proxies_.find("store/" + gateway);
    if (found != proxies_.end() &&
        address == fmt::format("127.0.0.1:{}", found->second->port())) {
      return gateway;
    }
  }
  return {};
}

std::string SoakSite::NewInstance() {
  return fmt::format("i-{}", ++last_instance_);
}

std::string SoakSite::NextVersion() const {
  return kSoftwareVersions[last_instance_ % kSoftwareVersions.size()];
}

void SoakSite::AddModelServer() {
  const std::string instance = NewInstance();
  site_.software = NextVersion();
  ModelServer& server = site_.AddServer("llm", instance, kSlots);
  Prepare(server, kSlots);
  servers_.push_back(&server);
}

void SoakSite::Prepare(ModelServer& server, int slots) {
  server.events = kEvents;
  server.event_interval = kEventInterval;
  server.first_byte_delay = kFirstEventDelay;
  server.name_requests = true;
  server.slots = slots;
  server.unprocessable_body = BodyOf(ItemKind::kUnprocessable);
  server.failing_body = BodyOf(ItemKind::kFailing);
  server.event_padding = EventPaddingFor;
}

void SoakSite::StartSecondService() {
  for (int i = 0; i < size_.model_servers / 2; ++i) {
    site_.software = kSoftwareVersions[i % kSoftwareVersions.size()];
    ModelServer& server =
        site_.AddServer(users_site::kSecondService,
                        fmt::format("n-{}", ++last_second_), kSecondSlots);
    Prepare(server, kSecondSlots);
    second_service_.push_back(&server);
  }
}

void SoakSite::Start() {
  for (int i = 0; i < size_.model_servers; ++i) AddModelServer();
  for (int i = 0; i < size_.app_servers; ++i) {
    servers_.push_back(&site_.AddServer("app", NewInstance(), kSlots));
    servers_.back()->name_requests = true;
  }
  StartSecondService();
  const TimePoint now = MonotonicNow();
  operations_.configurations.push_back(
      {.at = now,
       .keys = {{kUsualKey, kUsualWorkspace},
                {kHotKey, kHotWorkspace},
                {ChangingKey(last_key_), kUsualWorkspace}}});
  keys_change_at_ = now + kKeyLifetime;
  Configure();
  for (int i = 1; i <= size_.gateways; ++i) {
    const std::string gateway = fmt::format("gateway-{}", i);
    SetClockOffset(gateway, 0);
    site_.StartGateway(gateway);
    gateways_.push_back(gateway);
    gateway_states_[gateway];
  }
  for (const std::string& gateway : gateways_) {
    site_.caller().RunUntil([&] { return site_.Ready(gateway); });
  }
}

void SoakSite::ChangeKeys(TimePoint now) {
  keys_change_at_ = now + kKeyLifetime;
  OperationsLog::Configuration next = operations_.configurations.back();
  next.at = now;
  next.keys.erase(ChangingKey(last_key_));
  next.keys[ChangingKey(++last_key_)] = kUsualWorkspace;
  operations_.configurations.push_back(std::move(next));
  Configure();
}

std::string SoakSite::PickChangingKey(Rng& rng) const {
  // -1 picks the next key, which is not yet added.
  const int back = static_cast<int>(UniformBelow(rng, 4)) - 1;
  return ChangingKey(std::max(last_key_ - back, 0));
}

void SoakSite::Configure() {
  site_.workspaces = WorkspacesOf(operations_.configurations.back().keys);
  const auto& routes = operations_.configurations.back().extra_routes;
  site_.extra_routes.assign(routes.begin(), routes.end());
  // Version numbers need not be consecutive.
  version_ += 1 + version_ % 3;
  site_.Configure(
      version_,
      {{"max_attempts", kMaxFailures},
       {"queue_ttl_s",
        std::chrono::duration_cast<std::chrono::seconds>(kItemLifetime)
            .count()},
       {"max_count", kMaxWaitingTokens}});
}

void SoakSite::ChangeConfiguration(bool add, TimePoint now) {
  OperationsLog::Configuration next = operations_.configurations.back();
  next.at = now;
  if (add || next.extra_routes.empty()) {
    next.extra_routes.insert(fmt::format("extra{:03}", ++last_route_));
  } else {
    next.extra_routes.erase(next.extra_routes.begin());
  }
  operations_.configurations.push_back(std::move(next));
  Configure();
}

void SoakSite::SplitRoutes(uint64_t draw, TimePoint now) {
  constexpr uint64_t kSplitsPerEnd = 8;
  const auto weight = static_cast<int>(draw % (kMaxSecondWeight + 1));
  draw /= kMaxSecondWeight + 1;
  const boost::json::object first = {{"service", "llm"},
                                     {"weight", 100 - weight}};
  const boost::json::object second = {{"service", users_site::kSecondService},
                                      {"weight", weight}};
  site_.backends = {second, first};
  if (draw % 2 == 0) site_.backends = {first, second};
  if (draw / 2 % kSplitsPerEnd == 0) site_.backends = {};
  OperationsLog::Configuration next = operations_.configurations.back();
  next.at = now;
  operations_.configurations.push_back(std::move(next));
  Configure();
}

std::string SoakSite::PickExtraRoute(Rng& rng) const {
  constexpr uint64_t kLate = 3;
  const auto last = static_cast<uint64_t>(std::max(last_route_, 1));
  const uint64_t back = UniformBelow(rng, std::min(kLate, last));
  return fmt::format("extra{:03}", last - back);
}

const std::string& SoakSite::PickGateway(Rng& rng) const {
  std::vector<const std::string*> ready;
  for (const auto& [name, state] : gateway_states_) {
    if (state.in_rotation) ready.push_back(&name);
  }
  if (ready.empty()) return gateways_[UniformBelow(rng, gateways_.size())];
  return *ready[UniformBelow(rng, ready.size())];
}

RunIndex SoakSite::Runs() const {
  RunIndex runs;
  for (const ModelServer* server : servers_) runs.Add(*server);
  for (const ModelServer* server : second_service_) runs.Add(*server);
  return runs;
}

void SoakSite::RunAt(TimePoint at, std::function<void()> action) {
  scheduled_actions_.emplace(at, std::move(action));
}

void SoakSite::Run(TimePoint now) {
  if (now >= keys_change_at_) ChangeKeys(now);
  while (!scheduled_actions_.empty() &&
         scheduled_actions_.begin()->first <= now) {
    scheduled_actions_.extract(scheduled_actions_.begin()).mapped()();
  }
  for (auto& [gateway, state] : gateway_states_) {
    CheckProcess(gateway, state, now);
    Probe(gateway, state, now);
  }
}

void SoakSite::CheckProcess(const std::string& gateway, GatewayState& state,
                            TimePoint now) {
  if (Running(gateway)) return;
  if (state.restart_at == kNever) {
    findings_.Check("a process does not end by itself", state.exit_expected,
                    fmt::format("{} ended with {}", gateway,
                                site_.process(gateway).exit_code()));
    for (OperationsLog::Stop& stop : operations_.stops) {
      if (stop.gateway == gateway && stop.ended_at == kNever) {
        stop.ended_at = now;
      }
    }
    state.restart_at = now + kRestartDelay;
    return;
  }
  if (now < state.restart_at) return;
  site_.RestartGateway(gateway);
  ++state.starts;
  state.exit_expected = false;
  state.restart_at = kNever;
}

void SoakSite::Probe(const std::string& gateway, GatewayState& state,
                     TimePoint now) {
  harness::Caller& caller = site_.caller();
  if (state.probe) {
    const auto& end = caller.answer(state.probe).end;
    if (!end) return;
    state.probe = ExchangeId();
    state.missed_probes = end->status == 200 ? 0 : state.missed_probes + 1;
    state.in_rotation = state.missed_probes < kMissedProbesToRemove;
    return;
  }
  if (now < state.probe_at) return;
  state.probe_at = now + kProbeInterval;
  state.probe = caller.Begin({.address = site_.admin_address(gateway),
                              .target = "/-/readiness",
                              .deadline = now + kProbeTimeout});
}

void SoakSite::Kill(const std::string& gateway) {
  gateway_states_.at(gateway).exit_expected = true;
  site_.process(gateway).Signal(SIGKILL);
}

void SoakSite::Stop(const std::string& gateway, TimePoint now) {
  GatewayState& state = gateway_states_.at(gateway);
  if (state.exit_expected || !Running(gateway)) return;
  state.exit_expected = true;
  operations_.stops.push_back({.gateway = gateway, .requested_at = now});
  site_.process(gateway).Terminate();
}

void SoakSite::Drain(ModelServer& server, TimePoint now) {
  DrainUntil(server, now + kDrainPeriod * 2, now);
}

void SoakSite::DrainSecondService(TimePoint back_at, TimePoint now) {
  const TimePoint earliest = now + kDrainPeriod * 2;
  for (ModelServer* server : second_service_) {
    DrainUntil(*server, std::max(back_at, earliest), now);
  }
}

void SoakSite::CrashSecondService(TimePoint back_at) {
  for (ModelServer* server : second_service_) ReplaceAt(*server, back_at);
}

void SoakSite::DrainUntil(ModelServer& server, TimePoint back_at,
                          TimePoint now) {
  const std::string instance = server.instance();
  if (operations_.leaving.contains(instance)) return;
  site_.MarkDraining(server);
  operations_.leaving[instance] = now;
  RunAt(now + kDrainPeriod, [this, &server, instance] {
    if (server.instance() == instance) site_.RemoveServer(server);
  });
  if (back_at == kNever) return;
  RunAt(back_at, [this, &server, instance] {
    if (server.instance() == instance) Replace(server, true);
  });
}

void SoakSite::RemoveWithoutDraining(ModelServer& server, TimePoint now) {
  const std::string instance = server.instance();
  if (operations_.leaving.contains(instance)) return;
  site_.RemoveServer(server);
  operations_.leaving[instance] = now;
  RunAt(now + kDrainPeriod * 2, [this, &server, instance] {
    if (server.instance() == instance) Replace(server, true);
  });
}

void SoakSite::Replace(ModelServer& server, bool registered) {
  const TimePoint now = MonotonicNow();
  ReplaceAt(server, registered ? now : now + kRegistrationLifetime * 2);
}

void SoakSite::ReplaceAt(ModelServer& server, TimePoint registered_at) {
  const TimePoint now = MonotonicNow();
  const std::string old = server.instance();
  // Until the old registration expires, it names an instance that has
  // terminated.
  if (!operations_.leaving.contains(old)) {
    operations_.leaving[old] = now;
    fault_windows_.Add("", now, now + kRegistrationLifetime);
  }
  const bool second =
      std::count(second_service_.begin(), second_service_.end(), &server) > 0;
  const std::string instance =
      second ? fmt::format("n-{}", ++last_second_) : NewInstance();
  if (!second) server.software = NextVersion();
  site_.RestartServer(server, instance);
  RunAt(now + kRegistrationLifetime,
        [this, old] { site_.store().Remove("servers", old); });
  if (registered_at <= now) return site_.MarkReady(server);
  if (registered_at == kNever) return;
  RunAt(registered_at, [this, &server, instance] {
    if (server.instance() == instance) site_.MarkReady(server);
  });
}

}  // namespace knapweedstile::soak
