#include <catch2/catch.hpp>

#include "entry_fleet_model.h"

namespace knapweedstile::decide {
namespace {

size_t CountInTime(const std::vector<ModelAnswer>& answers) {
  return static_cast<size_t>(
      std::count_if(answers.begin(), answers.end(),
                    [](const ModelAnswer& a) { return a.InTime(); }));
}

TEST_CASE("every call gets exactly one answer") {
  EntryFleetModel model({.entries = 2, .servers = 4}, 1);
  model.Load(10, 60, [] { return ModelCall{}; });
  model.Run(120);
  for (const ModelAnswer& answer : model.answers()) {
    REQUIRE(answer.finals == 1);
    REQUIRE(answer.done);
  }
}

TEST_CASE("a target without a backend server is refused at once") {
  EntryFleetModel model({.servers = 0}, 1);
  model.Send(0, {});
  REQUIRE(model.answers()[0].reason == RefusalReason::kNoBackendServer);
  REQUIRE(model.answers()[0].finals == 1);
  REQUIRE(model.answers()[0].come_back_at > model.now());
}

// A shift starts and many more calls come than the engines can answer. Callers
// would rather hear "come back in five seconds" at once than wait and be told
// that it is too late.
TEST_CASE("under overload what is refused is refused at once") {
  EntryFleetModel model({.servers = 4}, 1);
  model.Load(32, 60, [] { return ModelCall{}; });
  model.Run(120);
  const auto& answers = model.answers();
  size_t refused = 0;
  size_t at_once = 0;
  for (const ModelAnswer& answer : answers) {
    REQUIRE(answer.finals == 1);
    if (!answer.refused) continue;
    ++refused;
    at_once += *answer.refused - answer.arrived < 0.010;
    REQUIRE(answer.come_back_at > *answer.refused);
  }
  REQUIRE(refused > answers.size() / 4);
  REQUIRE(at_once > refused * 9 / 10);
  // 4 servers, 8 slots, 2.1 s a call: 15.2 calls a second for 60 s.
  REQUIRE(CountInTime(answers) > 15.2 * 60 * 0.95);
}

// An engine's gate has its line of batch items full and refuses one more. An
// owner's call a moment later must go to that engine all the same.
TEST_CASE("a refused batch item closes the server to batch only") {
  EntryScheduler scheduler(EntrySettings(), 1);
  std::vector<EntryAction> actions;
  TimePoint now(std::chrono::hours(1));
  scheduler.OnBackendServerUp(now, BackendServerId(1), {"llm"}, "", actions);
  const auto arrive = [&](uint64_t id, TrafficClass traffic_class) {
    RequestInfo info;
    info.id = RequestId(id);
    info.traffic_class = traffic_class;
    info.target = "llm";
    actions.clear();
    scheduler.OnArrival(now, info, actions);
    return actions.empty() ? nullptr : std::get_if<DispatchAction>(&actions[0]);
  };
  const auto* sent = arrive(1, TrafficClass::kBatch);
  REQUIRE(sent != nullptr);
  scheduler.OnAttemptEnded(now, sent->attempt, AttemptOutcome::kRefused,
                           now + std::chrono::seconds(1), actions);
  REQUIRE(scheduler.BatchRoom("llm") == 0);
  REQUIRE(arrive(2, TrafficClass::kBatch) == nullptr);
  REQUIRE(arrive(3, TrafficClass::kOnline) != nullptr);
}

}  // namespace
}  // namespace knapweedstile::decide
