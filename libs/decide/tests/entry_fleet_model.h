#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_FLEET_MODEL_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_FLEET_MODEL_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "base/rng.h"
#include "decide/entry_scheduler.h"
#include "decide/entry_settings.h"
#include "decide/load_report.h"

namespace knapweedstile::decide {

// One call of a caller in the model.
struct ModelCall {
  std::string workspace = "kennels";
  std::string caller;
  TrafficClass traffic_class = TrafficClass::kOnline;
  uint64_t prefix = 0;  // prompts with the same prefix share cached work
  uint32_t prompt_tokens = 400;
  uint32_t max_tokens = 100;
  double deadline_seconds = 10;
  uint64_t fingerprint = 0;
  bool idempotent = true;
};

// What the caller received.
struct ModelAnswer {
  ModelCall call;
  double arrived = 0;
  std::optional<double> dispatched;
  std::optional<double> first_output;
  std::optional<double> done;
  std::optional<double> refused;
  std::optional<double> failed;
  RefusalReason reason = RefusalReason::kQueueFull;
  double come_back_at = 0;
  int finals = 0;  // final answers; one each

  bool InTime() const {
    return done && first_output &&
           *first_output <= arrived + call.deadline_seconds;
  }
};

// Figures that differ between scenarios.
struct ModelSettings {
  size_t entries = 1;
  size_t servers = 20;
  uint32_t slots = 8;
  uint32_t gate_waiting = 32;
  double tokens_per_second = 50;  // of one stream
  double prefill_tokens_per_second = 4000;
  double network_seconds = 0.0015;
  double report_every = 0.25;
  double report_lag = 0.1;
  size_t cached_prefixes = 16;
  uint64_t poison = 0;  // a request with this fingerprint crashes its server
  double restart_seconds = 5;
  double quarantine_spread_seconds = 1;
  EntrySettings entry;
};

// A discrete-event model of entries and model engines behind simple gates
// (first come, first served; bounded), driving the real EntryScheduler. Used by
// the tests and by bench/entry_bench.cc; time is simulated.
class EntryFleetModel {
 public:
  using OnFinal = std::function<void(size_t call)>;

  EntryFleetModel(const ModelSettings& settings, uint64_t seed)
      : settings_(settings), rng_(seed) {
    for (size_t i = 0; i < settings.entries; ++i) {
      entries_.push_back(
          std::make_unique<EntryScheduler>(settings.entry, rng_()));
      tick_at_.push_back(kNever);
    }
    servers_.resize(settings.servers);
    for (size_t i = 0; i < settings.servers; ++i) {
      Up(i);
      After(settings.report_every * UniformUnit(rng_),
            [this, i] { Report(i); });
    }
  }

  double now() const { return now_; }
  Rng& rng() { return rng_; }
  const std::vector<ModelAnswer>& answers() const { return answers_; }
  int crashes() const { return crashes_; }
  uint64_t dispatches() const { return dispatches_; }
  uint64_t cache_hits() const { return cache_hits_; }
  uint64_t starts() const { return starts_; }
  // Requests that run or wait at a server.
  size_t LoadAt(size_t server) const {
    return servers_[server].running.size() + servers_[server].waiting.size();
  }
  EntryScheduler& entry(size_t index) { return *entries_[index]; }
  void set_on_final(OnFinal on_final) { on_final_ = std::move(on_final); }
  // Work per second relative to a healthy server; zero hangs.
  void set_speed(size_t server, double speed) {
    servers_[server].speed = speed;
  }

  // Cuts each request's connection a while after it came in.
  void set_cutting(size_t server, bool cutting) {
    servers_[server].cutting = cutting;
  }

  void After(double seconds, std::function<void()> what) {
    events_.push({now_ + seconds, ++order_, std::move(what)});
  }

  void Run(double until) {
    while (!events_.empty() && events_.top().at <= until) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.what();
    }
    now_ = until;
  }

  // Poisson arrivals of `make()` through random entries until `until`.
  void Load(double rate, double until, std::function<ModelCall()> make) {
    const double wait = -std::log(1 - UniformUnit(rng_)) / rate;
    if (now_ + wait > until) return;
    After(wait, [this, rate, until, make = std::move(make)]() mutable {
      Send(UniformBelow(rng_, entries_.size()), make());
      Load(rate, until, std::move(make));
    });
  }

  size_t Send(size_t entry, const ModelCall& call) {
    const size_t index = answers_.size();
    answers_.push_back({call, now_});
    RequestInfo info;
    info.id = RequestId(index + 1);
    info.traffic_class = call.traffic_class;
    info.workspace = call.workspace;
    info.caller = call.caller;
    info.target = "llm";
    if (call.prefix != 0) info.prefix_hashes = {call.prefix};
    info.prompt_tokens = call.prompt_tokens;
    info.max_tokens = call.max_tokens;
    info.deadline = At(now_ + call.deadline_seconds);
    info.fingerprint = call.fingerprint;
    info.idempotent = call.idempotent;
    Drive(entry, [&](EntryScheduler& scheduler, Actions& actions) {
      scheduler.OnArrival(Now(), std::move(info), actions);
    });
    return index;
  }

  void Cancel(size_t entry, size_t call) {
    if (answers_[call].finals == 0) Finish(call);
    Drive(entry, [&](EntryScheduler& scheduler, Actions& actions) {
      scheduler.OnCancel(Now(), RequestId(call + 1), actions);
    });
  }

  void Up(size_t server) {
    servers_[server].up = true;
    for (size_t i = 0; i < entries_.size(); ++i) {
      Drive(i, [&](EntryScheduler& scheduler, Actions& actions) {
        scheduler.OnBackendServerUp(Now(), IdOf(server), {"llm"}, "bern-a",
                                    actions);
      });
    }
  }

  // The server stops: what ran there ends with `outcome` at the entries.
  void Down(size_t server, AttemptOutcome outcome) {
    Server& s = servers_[server];
    s.up = false;
    ++s.incarnation;
    for (size_t i = 0; i < entries_.size(); ++i) {
      entries_[i]->OnBackendServerDown(Now(), IdOf(server));
    }
    std::vector<Running> lost(s.waiting.begin(), s.waiting.end());
    for (const auto& [key, running] : s.running) lost.push_back(running);
    s.waiting.clear();
    s.running.clear();
    for (const Running& running : lost) EndAttempt(running, outcome, 0);
    for (size_t i = 0; i < entries_.size(); ++i)
      Drive(i, [](EntryScheduler&, Actions&) {});
  }

 private:
  static constexpr double kCutAfterSeconds = 0.05;

  struct Event {
    double at = 0;
    uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct Running {
    size_t entry = 0;
    size_t call = 0;
    AttemptId attempt;
    auto key() const { return std::pair(entry, attempt.value()); }
  };
  struct Server {
    bool up = false;
    double speed = 1;
    bool cutting = false;
    uint64_t incarnation = 0;
    std::deque<Running> waiting;
    std::map<std::pair<size_t, uint64_t>, Running> running;
    std::deque<uint64_t> prefixes;
  };

  static TimePoint At(double seconds) {
    return TimePoint(std::chrono::hours(1)) + FromSeconds(seconds);
  }
  static double Seconds(TimePoint at) { return ToSeconds(at - At(0)); }
  TimePoint Now() const { return At(now_); }
  static BackendServerId IdOf(size_t server) {
    return BackendServerId(server + 1);
  }

  using Actions = std::vector<EntryAction>;
  using Step = std::function<void(EntryScheduler&, Actions&)>;

  void Drive(size_t entry, const Step& step) {
    Actions actions;
    step(*entries_[entry], actions);
    for (const EntryAction& action : actions) {
      std::visit([&](const auto& a) { Take(entry, a); }, action);
    }
    const TimePoint wake = entries_[entry]->NextWake();
    if (wake >= tick_at_[entry]) return;
    tick_at_[entry] = wake;
    After(std::max(0.0, Seconds(wake) - now_),
          [this, entry, wake] { Tick(entry, wake); });
  }

  void Tick(size_t entry, TimePoint wake) {
    if (tick_at_[entry] != wake) return;  // an earlier one was set
    tick_at_[entry] = kNever;
    Drive(entry, [&](EntryScheduler& scheduler, Actions& actions) {
      scheduler.OnTick(std::max(Now(), wake), actions);
    });
  }

  void Take(size_t entry, const DispatchAction& action) {
    ++dispatches_;
    const Running running{entry, action.request.value() - 1, action.attempt};
    ModelAnswer& answer = answers_[running.call];
    if (!answer.dispatched) answer.dispatched = now_;
    const size_t server = action.backend_server.value() - 1;
    const uint64_t incarnation = servers_[server].incarnation;
    After(settings_.network_seconds, [=, this] {
      if (!servers_[server].up || servers_[server].incarnation != incarnation) {
        EndAttempt(running, AttemptOutcome::kNotSent, 0);
      } else {
        Arrive(server, running);
      }
    });
    where_[running.key()] = server;
  }
  void Take(size_t entry, const CancelAttemptAction& action) {
    const auto key = std::pair(entry, action.attempt.value());
    const auto found = where_.find(key);
    if (found == where_.end()) return;
    const size_t server = found->second;
    where_.erase(found);
    After(settings_.network_seconds, [=, this] {
      Server& s = servers_[server];
      std::erase_if(s.waiting,
                    [&](const Running& r) { return r.key() == key; });
      if (s.running.erase(key) > 0) StartNext(server);
    });
  }
  void Take(size_t /*entry*/, const RefuseAction& action) {
    ModelAnswer& answer = answers_[action.request.value() - 1];
    answer.refused = now_;
    answer.reason = action.refusal.reason;
    answer.come_back_at = Seconds(action.refusal.come_back_at);
    Finish(action.request.value() - 1);
  }
  void Take(size_t /*entry*/, const FailAction& action) {
    answers_[action.request.value() - 1].failed = now_;
    Finish(action.request.value() - 1);
  }

  void Finish(size_t call) {
    ++answers_[call].finals;
    if (on_final_) After(0, [this, call] { on_final_(call); });
  }

  void Arrive(size_t server, const Running& running) {
    if (!where_.contains(running.key())) return;  // cancelled on the way
    Server& s = servers_[server];
    if (s.running.size() < settings_.slots) {
      Start(server, running);
    } else if (s.waiting.size() < settings_.gate_waiting) {
      s.waiting.push_back(running);
    } else {
      EndAttempt(running, AttemptOutcome::kRefused, now_ + 0.2);
    }
  }

  void Start(size_t server, const Running& running) {
    Server& s = servers_[server];
    const ModelCall& call = answers_[running.call].call;
    ++starts_;
    s.running.emplace(running.key(), running);
    if (settings_.poison != 0 && call.fingerprint == settings_.poison) {
      Crash(server);
      return;
    }
    if (s.speed <= 0) return;  // hangs
    if (s.cutting) {
      const uint64_t life = s.incarnation;
      After(kCutAfterSeconds, [=, this] {
        if (Runs(server, life, running)) Cut(server, running);
      });
      return;
    }
    const bool cached = UsePrefix(s, call.prefix);
    const double prefill =
        cached ? 0 : call.prompt_tokens / settings_.prefill_tokens_per_second;
    const double token = 1 / settings_.tokens_per_second;
    const uint64_t incarnation = s.incarnation;
    After((prefill + token) / s.speed, [=, this] {
      if (!Runs(server, incarnation, running)) return;
      FirstOutput(running);
      ReportWithReply(server, running.entry);
    });
    After((prefill + token * call.max_tokens) / s.speed, [=, this] {
      if (Runs(server, incarnation, running)) Done(server, running);
    });
  }

  bool Runs(size_t server, uint64_t incarnation, const Running& r) const {
    const Server& s = servers_[server];
    return s.incarnation == incarnation && s.running.contains(r.key());
  }

  bool UsePrefix(Server& s, uint64_t prefix) {
    if (prefix == 0) return false;
    const auto found = std::find(s.prefixes.begin(), s.prefixes.end(), prefix);
    const bool cached = found != s.prefixes.end();
    if (cached) s.prefixes.erase(found);
    s.prefixes.push_front(prefix);
    if (s.prefixes.size() > settings_.cached_prefixes) s.prefixes.pop_back();
    if (cached) ++cache_hits_;
    return cached;
  }

  void FirstOutput(const Running& running) {
    After(settings_.network_seconds, [this, running] {
      if (!where_.contains(running.key())) return;
      ModelAnswer& answer = answers_[running.call];
      if (!answer.first_output) answer.first_output = now_;
      Drive(running.entry, [&](EntryScheduler& scheduler, Actions& actions) {
        scheduler.OnFirstOutput(Now(), running.attempt, actions);
      });
    });
  }

  void Done(size_t server, const Running& running) {
    servers_[server].running.erase(running.key());
    StartNext(server);
    EndAttempt(running, AttemptOutcome::kDone, 0);
    ReportWithReply(server, running.entry);
  }

  void Cut(size_t server, const Running& running) {
    servers_[server].running.erase(running.key());
    StartNext(server);
    EndAttempt(running, AttemptOutcome::kUnknown, 0);
  }

  void StartNext(size_t server) {
    Server& s = servers_[server];
    if (s.waiting.empty() || s.running.size() >= settings_.slots) return;
    const Running next = s.waiting.front();
    s.waiting.pop_front();
    Start(server, next);
  }

  void Crash(size_t server) {
    ++crashes_;
    After(0, [this, server] {
      Down(server, AttemptOutcome::kCrashed);
      After(settings_.restart_seconds, [this, server] { Up(server); });
      After(settings_.quarantine_spread_seconds,
            [this] { SpreadQuarantine(); });
    });
  }

  void SpreadQuarantine() {
    for (const auto& from : entries_) {
      for (const auto& [fingerprint, until] : from->Quarantined()) {
        for (const auto& to : entries_) {
          if (to != from) to->OnQuarantined(Now(), fingerprint, until);
        }
      }
    }
  }

  void EndAttempt(const Running& running, AttemptOutcome outcome,
                  double come_back) {
    After(settings_.network_seconds, [=, this] {
      if (where_.erase(running.key()) == 0) return;
      if (outcome == AttemptOutcome::kDone) {
        answers_[running.call].done = now_;
        Finish(running.call);
      }
      Drive(running.entry, [&](EntryScheduler& scheduler, Actions& actions) {
        scheduler.OnAttemptEnded(Now(), running.attempt, outcome, At(come_back),
                                 actions);
      });
    });
  }

  LoadReport LoadOf(const Server& s) const {
    LoadReport report;
    report.measured_at = Now();
    report.slots = settings_.slots;
    const auto is_batch = [&](const Running& running) {
      return answers_[running.call].call.traffic_class == TrafficClass::kBatch;
    };
    for (const auto& [key, running] : s.running) {
      ++(is_batch(running) ? report.batch_running : report.online_running);
    }
    for (const Running& running : s.waiting) {
      ++(is_batch(running) ? report.batch_waiting : report.online_waiting);
    }
    return report;
  }

  // The load as it was at the server goes to one entry with a reply.
  void ReportWithReply(size_t server, size_t entry) {
    const LoadReport report = LoadOf(servers_[server]);
    After(settings_.network_seconds,
          [=, this] { Deliver(server, entry, report); });
  }

  void Deliver(size_t server, size_t entry, const LoadReport& report) {
    if (!servers_[server].up) return;
    Drive(entry, [&](EntryScheduler& scheduler, Actions& actions) {
      scheduler.OnLoad(Now(), IdOf(server), report, actions);
    });
  }

  void Report(size_t server) {
    After(settings_.report_every, [this, server] { Report(server); });
    if (!servers_[server].up) return;
    const LoadReport report = LoadOf(servers_[server]);
    After(settings_.report_lag, [this, server, report] {
      for (size_t i = 0; i < entries_.size(); ++i) Deliver(server, i, report);
    });
  }

  const ModelSettings settings_;
  Rng rng_;
  double now_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<EntryScheduler>> entries_;
  std::vector<TimePoint> tick_at_;
  std::vector<Server> servers_;
  std::vector<ModelAnswer> answers_;
  std::map<std::pair<size_t, uint64_t>, size_t> where_;
  OnFinal on_final_;
  int crashes_ = 0;
  uint64_t dispatches_ = 0;
  uint64_t cache_hits_ = 0;
  uint64_t starts_ = 0;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_FLEET_MODEL_H_
