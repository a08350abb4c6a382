#ifndef KNAPWEEDSTILE_DECIDE_TESTS_GATE_DRIVER_H_
#define KNAPWEEDSTILE_DECIDE_TESTS_GATE_DRIVER_H_

#include <catch2/catch.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/rng.h"
#include "decide/gate.h"
#include "decide/gate_settings.h"
#include "decide/sharing_policy.h"

namespace knapweedstile::decide {

// A backend server of `slots` slots which yields one token each kToken, driven
// by a Gate on a clock of its own. It records what each caller received.
class GateDriver {
 public:
  static constexpr Duration kToken = std::chrono::milliseconds(50);

  enum class End { kNone, kDone, kRefused, kYielded, kCancelled };

  struct Record {
    RequestInfo info;
    TimePoint arrived;
    TimePoint first_token = kNever;
    TimePoint ended = kNever;
    TimePoint come_back_at = kNever;
    RefusalReason reason = RefusalReason::kQueueFull;
    End end = End::kNone;
    uint32_t produced = 0;
    uint32_t starts = 0;
    uint32_t parks = 0;
  };

  explicit GateDriver(const GateSettings& settings, uint64_t seed = 1)
      : settings_(settings), gate_(settings, seed) {}

  // Commands.
  RequestId Arrive(RequestInfo info) {
    info.id = RequestId(next_id_++);
    records_[info.id] = {.info = info, .arrived = now_};
    Act([&](auto& actions) { gate_.OnArrival(now_, info, actions); });
    return info.id;
  }
  RequestId Online(uint32_t tokens, TimePoint deadline = kNever) {
    return Arrive(
        {.prompt_tokens = 10, .max_tokens = tokens, .deadline = deadline});
  }
  RequestId Batch(uint32_t tokens, std::string workspace = "w",
                  TimePoint due = kNever) {
    return Arrive({.traffic_class = TrafficClass::kBatch,
                   .workspace = std::move(workspace),
                   .prompt_tokens = 10,
                   .max_tokens = tokens,
                   .due = due});
  }
  // Also of a request that has ended, or was never there: the gate ignores it.
  void Cancel(RequestId id) {
    running_.erase(id);
    if (records_.contains(id) && records_[id].end == End::kNone) {
      Finish(id, End::kCancelled);
    }
    Act([&](auto& actions) { gate_.OnCancel(now_, id, actions); });
  }
  void Policy(const SharingPolicy& policy) {
    Act([&](auto& actions) { gate_.OnPolicy(now_, policy, actions); });
  }
  void Drain() {
    Act([&](auto& actions) { gate_.OnDrain(now_, actions); });
  }
  void Health(bool healthy) {
    Act([&](auto& actions) {
      gate_.OnBackendServerHealth(now_, healthy, actions);
    });
  }
  // The backend server loses everything that runs on it.
  void Crash() {
    Health(false);
    while (!running_.empty()) EndRunning(running_.begin()->first);
  }
  void RunFor(Duration span) {
    const TimePoint end = now_ + span;
    while (now_ < end) Step();
  }

  // Queries.
  TimePoint Now() const { return now_; }
  const Record& Of(RequestId id) const { return records_.at(id); }
  const std::unordered_map<RequestId, Record>& Records() const {
    return records_;
  }
  bool Running(RequestId id) const { return running_.contains(id); }
  size_t RunningCount() const { return running_.size(); }
  LoadReport Load() const { return gate_.Load(now_); }
  const Gate& gate() const { return gate_; }

 private:
  void Step() {
    now_ += kToken;
    if (gate_.NextWake() <= now_) {
      Act([&](auto& actions) { gate_.OnTick(now_, actions); });
    }
    const std::unordered_map<RequestId, TimePoint> ready = running_;
    for (const auto& [id, from] : ready) {
      if (from < now_ && running_.contains(id)) Produce(id);
    }
  }

  void Produce(RequestId id) {
    Record& record = records_[id];
    ++record.produced;
    if (record.first_token == kNever) record.first_token = now_;
    gate_.OnOutput(now_, id, 1);
    if (record.produced >= record.info.max_tokens) EndRunning(id);
  }

  void EndRunning(RequestId id) {
    running_.erase(id);
    Finish(id, End::kDone);
    Act([&](auto& actions) { gate_.OnEnded(now_, id, actions); });
  }

  template <typename Event>
  void Act(Event event) {
    std::vector<GateAction> actions;
    event(actions);
    for (const GateAction& action : actions) {
      std::visit([&](const auto& a) { Apply(a); }, action);
    }
  }

  void Apply(const StartAction& action) {
    REQUIRE(records_[action.request].end == End::kNone);
    REQUIRE(running_.emplace(action.request, now_).second);
    REQUIRE(running_.size() <= settings_.slots);
    ++records_[action.request].starts;
  }
  void Apply(const ParkAction& action) {
    REQUIRE(running_.erase(action.request) == 1);
    ++records_[action.request].parks;
  }
  void Apply(const YieldAction& action) {
    running_.erase(action.request);
    Finish(action.request, End::kYielded);
  }
  void Apply(const GateRefuseAction& action) {
    REQUIRE_FALSE(running_.contains(action.request));
    REQUIRE(records_[action.request].starts == 0);
    records_[action.request].come_back_at = action.refusal.come_back_at;
    records_[action.request].reason = action.refusal.reason;
    Finish(action.request, End::kRefused);
  }

  void Finish(RequestId id, End end) {
    REQUIRE(records_[id].end == End::kNone);
    records_[id].end = end;
    records_[id].ended = now_;
  }

  const GateSettings settings_;
  Gate gate_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  uint64_t next_id_ = 1;
  std::unordered_map<RequestId, Record> records_;
  std::unordered_map<RequestId, TimePoint> running_;  // and since when
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_TESTS_GATE_DRIVER_H_
