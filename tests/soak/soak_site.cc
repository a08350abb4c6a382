#include "soak_site.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <utility>

#include "base/clock.h"
#include "batch_limits.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;
using users_site::ModelServer;

constexpr char kAnyPort[] = "127.0.0.1:0";
constexpr int kSlots = 16;
// A stream lasts some two seconds: long enough to be struck in the middle.
constexpr milliseconds kEventPause{50};
constexpr milliseconds kFirstPause{30};
// As the users' balancer: one probe a second, out after two misses.
constexpr milliseconds kProbePause{1000};
constexpr milliseconds kProbeTimeout{900};
constexpr int kMissesToLeave = 2;
// The platform starts an ended process again after a short delay.
constexpr milliseconds kRestartPause{400};
// A server serves on for this long after it has left the list.
constexpr milliseconds kServesOn{3000};
// A silent server's entry is removed after three heartbeats.
constexpr milliseconds kEntryLifetime{1200};

// How long a key that comes and goes holds.
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
  site_.interpose = [this](const std::string& who, const std::string& address) {
    return Interpose(who, address);
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

void SoakSite::JumpClock(const std::string& gateway, int seconds) {
  std::ofstream(ClockFile(gateway)) << fmt::format("{:+d}", seconds) << '\n';
}

// One proxy for each way; a server keeps its own when its process is replaced.
std::string SoakSite::Interpose(const std::string& who,
                                const std::string& address) {
  const bool server = who.starts_with("server/");
  auto& proxy = proxies_[server ? "server/" + address : who];
  if (!proxy) {
    proxy = std::make_unique<harness::Proxy>(site_.caller().io(), kAnyPort,
                                             address);
  }
  return fmt::format("127.0.0.1:{}", proxy->port());
}

harness::Proxy* SoakSite::ProxyOf(const std::string& who) {
  const auto found = proxies_.find(who);
  return found == proxies_.end() ? nullptr : found->second.get();
}

std::string SoakSite::NewInstance() {
  return fmt::format("i-{}", ++last_instance_);
}

void SoakSite::AddModelServer() {
  ModelServer& server = site_.AddServer("llm", NewInstance(), kSlots);
  server.events = kEvents;
  server.event_pause = kEventPause;
  server.first_pause = kFirstPause;
  server.name_requests = true;
  server.slots = kSlots;
  server.unprocessable_body = BodyOf(ItemNature::kUnprocessable);
  server.failing_body = BodyOf(ItemNature::kFailing);
  servers_.push_back(&server);
}

void SoakSite::Start() {
  for (int i = 0; i < size_.model_servers; ++i) AddModelServer();
  for (int i = 0; i < size_.plain_servers; ++i) {
    servers_.push_back(&site_.AddServer("app", NewInstance(), kSlots));
    servers_.back()->name_requests = true;
  }
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
    JumpClock(gateway, 0);
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
  // Also one that has not come yet.
  const int back = static_cast<int>(UniformBelow(rng, 4)) - 1;
  return ChangingKey(std::max(last_key_ - back, 0));
}

void SoakSite::Configure() {
  site_.workspaces = WorkspacesOf(operations_.configurations.back().keys);
  const auto& routes = operations_.configurations.back().extra_routes;
  site_.extra_routes.assign(routes.begin(), routes.end());
  // Versions increase in uneven steps.
  version_ += 1 + version_ % 3;
  site_.Configure(
      version_,
      {{"max_attempts", kMostFailures},
       {"queue_ttl_s",
        std::chrono::duration_cast<std::chrono::seconds>(kItemLifetime)
            .count()},
       {"max_count", kMostWaitingTokens}});
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
  return runs;
}

void SoakSite::Later(TimePoint at, std::function<void()> step) {
  steps_.emplace(at, std::move(step));
}

void SoakSite::Run(TimePoint now) {
  if (now >= keys_change_at_) ChangeKeys(now);
  while (!steps_.empty() && steps_.begin()->first <= now) {
    steps_.extract(steps_.begin()).mapped()();
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
    findings_.Check("a process does not end by itself", state.restart_wanted,
                    fmt::format("{} ended with {}", gateway,
                                site_.process(gateway).exit_code()));
    for (OperationsLog::Stop& stop : operations_.stops) {
      if (stop.gateway == gateway && stop.ended_at == kNever) {
        stop.ended_at = now;
      }
    }
    state.restart_at = now + kRestartPause;
    return;
  }
  if (now < state.restart_at) return;
  site_.RestartGateway(gateway);
  ++state.starts;
  state.restart_wanted = false;
  state.restart_at = kNever;
}

void SoakSite::Probe(const std::string& gateway, GatewayState& state,
                     TimePoint now) {
  harness::Caller& caller = site_.caller();
  if (state.probe) {
    const auto& end = caller.answer(state.probe).end;
    if (!end) return;
    state.probe = ExchangeId();
    state.misses = end->status == 200 ? 0 : state.misses + 1;
    state.in_rotation = state.misses < kMissesToLeave;
    return;
  }
  if (now < state.probe_at) return;
  state.probe_at = now + kProbePause;
  state.probe = caller.Begin({.address = site_.readiness(gateway),
                              .target = "/-/readiness",
                              .deadline = now + kProbeTimeout});
}

void SoakSite::Kill(const std::string& gateway) {
  gateway_states_.at(gateway).restart_wanted = true;
  site_.process(gateway).Signal(SIGKILL);
}

void SoakSite::Stop(const std::string& gateway, TimePoint now) {
  GatewayState& state = gateway_states_.at(gateway);
  if (state.restart_wanted || !Running(gateway)) return;
  state.restart_wanted = true;
  operations_.stops.push_back({.gateway = gateway, .asked_at = now});
  site_.process(gateway).Terminate();
}

void SoakSite::Drain(ModelServer& server, TimePoint now) {
  const std::string instance = server.instance();
  if (operations_.leaving.contains(instance)) return;
  site_.MarkDraining(server);
  operations_.leaving[instance] = now;
  Later(now + kServesOn, [this, &server, instance] {
    if (server.instance() == instance) site_.RemoveServer(server);
  });
  Later(now + kServesOn * 2, [this, &server, instance] {
    if (server.instance() == instance) Replace(server, true);
  });
}

void SoakSite::Vanish(ModelServer& server, TimePoint now) {
  const std::string instance = server.instance();
  if (operations_.leaving.contains(instance)) return;
  site_.RemoveServer(server);
  operations_.leaving[instance] = now;
  Later(now + kServesOn * 2, [this, &server, instance] {
    if (server.instance() == instance) Replace(server, true);
  });
}

void SoakSite::Replace(ModelServer& server, bool registered) {
  const TimePoint now = MonotonicNow();
  const std::string old = server.instance();
  // The old entry lapses; until then it names an instance that is no more.
  if (!operations_.leaving.contains(old)) {
    operations_.leaving[old] = now;
    disturbances_.Add("", now, now + kEntryLifetime);
  }
  const std::string instance = NewInstance();
  site_.RestartServer(server, instance);
  Later(now + kEntryLifetime,
        [this, old] { site_.store().Remove("servers", old); });
  if (registered) {
    site_.MarkReady(server);
  } else {
    Later(now + kEntryLifetime * 2, [this, &server, instance] {
      if (server.instance() == instance) site_.MarkReady(server);
    });
  }
}

}  // namespace knapweedstile::soak
