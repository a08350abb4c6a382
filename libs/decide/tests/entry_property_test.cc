#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "base/rng.h"
#include "decide/entry_scheduler.h"
#include "decide/entry_settings.h"
#include "decide/load_report.h"

namespace knapweedstile::decide {
namespace {

// Feeds random events and keeps the books a caller would keep.
class RandomEvents {
 public:
  explicit RandomEvents(uint64_t seed)
      : rng_(seed), scheduler_(Settings(), seed) {}

  void Step() {
    now_ += std::chrono::milliseconds(UniformBelow(rng_, 40));
    switch (UniformBelow(rng_, 9)) {
      case 0:
      case 1:
      case 2:
        return Arrive();
      case 3:
      case 4:
        return EndSome();
      case 5:
        return ChangeServer();
      case 6:
        return Report();
      case 7:
        return UniformBelow(rng_, 4) == 0 ? Cancel() : FirstOutput();
      default:
        scheduler_.OnTick(now_, actions_);
        return Take();
    }
  }

  // Everything ends: every request must have had its one answer by then.
  void Finish() {
    for (uint64_t id = 1; id <= kServers; ++id) Up(id);
    for (int i = 0; i < 3000 && !open_.empty(); ++i) {
      now_ += std::chrono::milliseconds(50);
      for (uint64_t id = 1; id <= kServers; ++id) Report(id, 0);
      while (!attempts_.empty()) End(attempts_.begin()->first, kAllDone);
      scheduler_.OnTick(now_, actions_);
      Take();
    }
    RC_ASSERT(open_.empty());
    now_ += std::chrono::milliseconds(50);
    scheduler_.OnTick(now_, actions_);
    RC_ASSERT(scheduler_.NextWake() == kNever);
  }

 private:
  static constexpr uint64_t kServers = 5;
  static constexpr AttemptOutcome kAllDone = AttemptOutcome::kDone;

  struct Open {
    bool idempotent = true;
    bool may_have_run = false;
    std::set<uint64_t> servers;
  };
  struct Running {
    uint64_t request = 0;
    uint64_t server = 0;
  };

  static EntrySettings Settings() {
    EntrySettings settings;
    settings.queue_limit = 12;
    settings.workspace_queue_limit = 8;
    return settings;
  }

  void Arrive() {
    RequestInfo info;
    info.id = RequestId(++last_request_);
    const bool batch = UniformBelow(rng_, 4) == 0;
    info.traffic_class = batch ? TrafficClass::kBatch : TrafficClass::kOnline;
    info.workspace = UniformBelow(rng_, 2) == 0 ? "kennels" : "customs";
    info.caller = UniformBelow(rng_, 2) == 0 ? "" : "desk";
    info.target = UniformBelow(rng_, 20) == 0 ? "unknown" : "llm";
    info.max_tokens = static_cast<uint32_t>(UniformBelow(rng_, 500));
    info.prefix_hashes = {UniformBelow(rng_, 5)};
    info.fingerprint = UniformBelow(rng_, 12);
    info.idempotent = UniformBelow(rng_, 3) != 0;
    if (!batch) {
      info.deadline =
          now_ + std::chrono::milliseconds(UniformBelow(rng_, 3000));
    }
    open_[last_request_].idempotent = info.idempotent;
    scheduler_.OnArrival(now_, std::move(info), actions_);
    Take();
  }

  void EndSome() {
    static constexpr AttemptOutcome kOutcomes[] = {
        AttemptOutcome::kDone,    AttemptOutcome::kDone,
        AttemptOutcome::kNotSent, AttemptOutcome::kRefused,
        AttemptOutcome::kUnknown, AttemptOutcome::kCrashed,
        AttemptOutcome::kTimeout, AttemptOutcome::kYielded};
    if (attempts_.empty()) return;
    auto attempt = attempts_.begin();
    std::advance(attempt, UniformBelow(rng_, attempts_.size()));
    End(attempt->first, kOutcomes[UniformBelow(rng_, 8)]);
  }

  void End(uint64_t attempt, AttemptOutcome outcome) {
    const Running running = attempts_.at(attempt);
    attempts_.erase(attempt);
    const bool final =
        outcome == AttemptOutcome::kDone || outcome == AttemptOutcome::kYielded;
    const bool not_run = outcome == AttemptOutcome::kNotSent ||
                         outcome == AttemptOutcome::kRefused;
    if (final) {
      RC_ASSERT(open_.erase(running.request) == 1U);
    } else if (!not_run) {
      open_.at(running.request).may_have_run = true;
    }
    scheduler_.OnAttemptEnded(now_, AttemptId(attempt), outcome,
                              now_ + std::chrono::milliseconds(100), actions_);
    Take();
  }

  void FirstOutput() {
    if (attempts_.empty()) return;
    scheduler_.OnFirstOutput(now_, AttemptId(attempts_.begin()->first),
                             actions_);
    Take();
  }

  void Cancel() {
    if (open_.empty()) return;
    const uint64_t request = open_.begin()->first;
    open_.erase(request);
    scheduler_.OnCancel(now_, RequestId(request), actions_);
    Take();
  }

  void ChangeServer() {
    const uint64_t id = 1 + UniformBelow(rng_, kServers);
    switch (UniformBelow(rng_, 6)) {
      case 0:
        scheduler_.OnBackendServerLeaving(now_, BackendServerId(id));
        return;
      case 1:
        scheduler_.OnBackendServerDown(now_, BackendServerId(id));
        return;
      default:
        Up(id);
    }
  }

  void Up(uint64_t id) {
    scheduler_.OnBackendServerUp(now_, BackendServerId(id), {"llm"}, "bern-a",
                                 actions_);
    Take();
  }

  void Report() {
    Report(1 + UniformBelow(rng_, kServers),
           static_cast<uint32_t>(UniformBelow(rng_, 4)));
  }

  void Report(uint64_t id, uint32_t running) {
    const LoadReport report{
        .measured_at = now_, .slots = 2, .online_running = running};
    scheduler_.OnLoad(now_, BackendServerId(id), report, actions_);
    Take();
  }

  void Take() {
    for (const EntryAction& action : actions_) {
      std::visit([this](const auto& a) { Take(a); }, action);
    }
    actions_.clear();
  }
  void Take(const DispatchAction& a) {
    Open& open = open_.at(a.request.value());
    RC_ASSERT(open.idempotent || !open.may_have_run);
    RC_ASSERT(open.servers.insert(a.backend_server.value()).second);
    attempts_[a.attempt.value()] = {a.request.value(),
                                    a.backend_server.value()};
  }
  void Take(const CancelAttemptAction& a) {
    const auto found = attempts_.find(a.attempt.value());
    RC_ASSERT(found != attempts_.end());
    const auto open = open_.find(found->second.request);
    if (open != open_.end()) open->second.may_have_run = true;
    attempts_.erase(found);
  }
  void Take(const RefuseAction& a) {
    RC_ASSERT(!open_.at(a.request.value()).may_have_run);
    RC_ASSERT(a.refusal.come_back_at > now_);
    RC_ASSERT(open_.erase(a.request.value()) == 1U);
  }
  void Take(const FailAction& a) {
    RC_ASSERT(open_.at(a.request.value()).may_have_run);
    RC_ASSERT(open_.erase(a.request.value()) == 1U);
  }

  Rng rng_;
  EntryScheduler scheduler_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  uint64_t last_request_ = 0;
  std::map<uint64_t, Open> open_;
  std::map<uint64_t, Running> attempts_;
  std::vector<EntryAction> actions_;
};

// Whatever happens in whatever order, a caller gets exactly one answer, "not
// run" only when that is so, and a call that may have run and must not be
// repeated is never sent again.
TEST_CASE("random events: each request is answered once and truthfully") {
  rc::check([](uint64_t seed) {
    RandomEvents events(seed);
    for (int i = 0; i < 1500; ++i) events.Step();
    events.Finish();
  });
}

}  // namespace
}  // namespace knapweedstile::decide
