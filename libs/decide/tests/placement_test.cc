#include "decide/placement.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/rng.h"

namespace knapweedstile::decide {
namespace {

using std::chrono::seconds;

std::string EngineName(uint64_t i) { return "e" + std::to_string(i); }

std::vector<std::string> EngineNames(uint64_t count) {
  std::vector<std::string> names;
  names.reserve(count);
  for (uint64_t i = 0; i < count; ++i) names.push_back(EngineName(i));
  return names;
}

// Engines with room for two models each, and a weight store that takes kLoad
// for each load.
class Fleet {
 public:
  static constexpr Duration kLoad = seconds(20);

  Fleet(const PlacementSettings& settings, uint64_t engines)
      : settings_(settings), placement_(settings) {
    placement_.OnFence(7);
    for (uint64_t i = 0; i < engines; ++i) Up(EngineName(i));
  }

  // A new run of the engine's process: nothing is loaded.
  void Up(const std::string& engine) {
    Lose(engine);
    held_[engine].clear();
    Back(engine);
  }
  void Down(const std::string& engine) {
    Lose(engine);
    placement_.OnEngineDown(now_, engine);
  }
  // The same run is seen again, with what it holds.
  void Back(const std::string& engine) {
    const auto& held = held_[engine];
    placement_.OnEngineUp(now_, engine, 2, {held.begin(), held.end()}, orders_);
    Take();
  }
  void Specs(std::vector<PlacementSpec> specs) {
    placement_.OnSpecs(now_, std::move(specs), orders_);
    Take();
  }
  void RunFor(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end; now_ += seconds(1)) {
      Finish();
      if (placement_.NextWake() <= now_) placement_.OnTick(now_, orders_);
      Take();
    }
  }

  Placement& placement() { return placement_; }
  TimePoint now() const { return now_; }
  uint64_t loads = 0;
  uint64_t unloads = 0;
  size_t most_at_once = 0;
  double failing = 0;
  Rng rng{11};

 private:
  // Orders under way end without an answer.
  void Lose(const std::string& engine) {
    std::erase_if(under_way_,
                  [&](const auto& o) { return o.second.engine == engine; });
  }
  void Take() {
    for (const PlacementOrder& order : orders_) {
      REQUIRE(order.fence == 7);
      const bool load = order.kind == PlacementOrderKind::kLoad;
      ++(load ? loads : unloads);
      REQUIRE(held_[order.engine].contains(order.model) != load);
      under_way_.emplace_back(now_ + (load ? kLoad : seconds(1)), order);
    }
    orders_.clear();
    size_t at_once = 0;
    for (const auto& [done, order] : under_way_) {
      at_once += order.kind == PlacementOrderKind::kLoad;
    }
    most_at_once = std::max(most_at_once, at_once);
    REQUIRE(at_once <= settings_.concurrent_loads);
  }
  void Finish() {
    const auto under_way = std::exchange(under_way_, {});
    for (const auto& [done, order] : under_way) {
      if (done > now_) {
        under_way_.emplace_back(done, order);
      } else if (UniformUnit(rng) < failing) {
        placement_.OnOrderFailed(now_, order, orders_);
      } else {
        auto& held = held_[order.engine];
        if (order.kind == PlacementOrderKind::kLoad) {
          held.insert(order.model);
        } else {
          held.erase(order.model);
        }
        REQUIRE(held.size() <= 2);
        placement_.OnOrderDone(now_, order, orders_);
      }
    }
  }

  const PlacementSettings settings_;
  Placement placement_;
  TimePoint now_ = TimePoint(std::chrono::hours(1));
  std::vector<PlacementOrder> orders_;
  std::vector<std::pair<TimePoint, PlacementOrder>> under_way_;
  std::map<std::string, std::set<std::string>> held_;
};

// A whole fleet starts empty and three models are placed. The weight store must
// see no more loads at once than it can serve; each model gets its first copy
// before any gets its third, so that all of them answer early.
TEST_CASE("a start of the fleet loads under the weight store's rate") {
  Fleet fleet({.concurrent_loads = 3}, 9);
  const auto all = EngineNames(9);
  fleet.Specs({{"a", all, 4}, {"b", all, 4}, {"c", all, 4}});
  fleet.RunFor(Fleet::kLoad + seconds(2));
  for (const char* model : {"a", "b", "c"}) {
    REQUIRE(fleet.placement().Copies(model) == 1);
  }
  fleet.RunFor(Fleet::kLoad * 4);
  for (const char* model : {"a", "b", "c"}) {
    REQUIRE(fleet.placement().Copies(model) == 4);
  }
  REQUIRE(fleet.most_at_once == 3);
  REQUIRE(fleet.loads == 12);
}

// The link to one engine breaks for five seconds every half minute; the engine
// keeps what it has loaded. Nothing must be loaded or unloaded for that.
// Without the settling time each absence copies models elsewhere.
TEST_CASE("an engine that comes and goes does not move copies about") {
  const auto moved = [](Duration settle) {
    Fleet fleet({.concurrent_loads = 4, .settle = settle}, 4);
    fleet.Specs({{"a", EngineNames(4), 2}, {"b", EngineNames(4), 2}});
    fleet.RunFor(seconds(60));
    const uint64_t before = fleet.loads + fleet.unloads;
    for (int i = 0; i < 10; ++i) {
      fleet.Down("e1");
      fleet.RunFor(seconds(5));
      fleet.Back("e1");
      fleet.RunFor(seconds(25));
    }
    return fleet.loads + fleet.unloads - before;
  };
  REQUIRE(moved(seconds(60)) == 0);
  REQUIRE(moved(seconds(0)) > 0);
}

// An operator moves a model's placement to another engine, whose load takes
// longer than a superfluous copy is kept. Callers keep asking: the old copy
// must serve until the new one does. With the rule off nobody serves in
// between.
TEST_CASE("the last copy is not unloaded while it is asked for") {
  const auto seconds_without = [](bool rule_on) {
    Fleet fleet({.settle = seconds(5), .keep_last_copy = rule_on}, 2);
    fleet.Specs({{"a", {"e0"}, 1}});
    fleet.RunFor(seconds(30));
    REQUIRE(fleet.placement().Copies("a") == 1);
    fleet.Specs({{"a", {"e1"}, 1}});
    int without = 0;
    for (int i = 0; i < 200; ++i) {
      fleet.RunFor(seconds(1));
      without += fleet.placement().Copies("a") == 0;
    }
    REQUIRE(fleet.placement().Copies("a") == 1);
    REQUIRE(fleet.unloads == 1);
    return without;
  };
  REQUIRE(seconds_without(true) == 0);
  REQUIRE(seconds_without(false) > 0);
}

// A placement is deleted while callers still ask for its model.
TEST_CASE("a model without a placement stays until nobody asks for it") {
  Fleet fleet({}, 2);
  fleet.Specs({{"a", {"e0"}, 1}});
  fleet.RunFor(seconds(30));
  fleet.Specs({});
  fleet.placement().OnDemand(fleet.now(), "a");
  fleet.RunFor(std::chrono::minutes(5));
  REQUIRE(fleet.placement().Copies("a") == 1);
  fleet.RunFor(std::chrono::minutes(10));
  REQUIRE(fleet.placement().Copies("a") == 0);
}

// Random engines, specs and failures: bounds hold at every step (checked by the
// fleet), and once it is quiet every model has its copies and nothing moves.
TEST_CASE("placement settles after random events") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet({.concurrent_loads = 3}, 6);
    fleet.rng.seed(seed);
    fleet.failing = 0.2;
    const auto spec = [&](const char* model) {
      return PlacementSpec{
          model, EngineNames(6),
          1 + static_cast<uint32_t>(UniformBelow(fleet.rng, 3))};
    };
    for (int i = 0; i < 40; ++i) {
      const std::string engine = EngineName(UniformBelow(fleet.rng, 6));
      switch (UniformBelow(fleet.rng, 3)) {
        case 0:
          fleet.Specs({spec("a"), spec("b"), spec("c")});
          break;
        case 1:
          fleet.Down(engine);
          break;
        default:
          fleet.Up(engine);
      }
      fleet.RunFor(seconds(UniformBelow(fleet.rng, 40)));
    }
    fleet.failing = 0;
    for (uint64_t i = 0; i < 6; ++i) fleet.Up(EngineName(i));
    const auto all = EngineNames(6);
    fleet.Specs({{"a", all, 2}, {"b", all, 3}, {"c", all, 1}});
    fleet.RunFor(std::chrono::minutes(10));
    REQUIRE(fleet.placement().Copies("a") == 2);
    REQUIRE(fleet.placement().Copies("b") == 3);
    REQUIRE(fleet.placement().Copies("c") == 1);
    const uint64_t moved = fleet.loads + fleet.unloads;
    fleet.RunFor(std::chrono::minutes(10));
    REQUIRE(fleet.loads + fleet.unloads == moved);
  }
}

}  // namespace
}  // namespace knapweedstile::decide
