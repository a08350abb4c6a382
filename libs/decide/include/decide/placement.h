#ifndef KNAPWEEDSTILE_DECIDE_PLACEMENT_H_
#define KNAPWEEDSTILE_DECIDE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/placement_order.h"
#include "decide/placement_settings.h"
#include "decide/placement_spec.h"

namespace knapweedstile::decide {

// Which models and adapters are on which engines. Events and time in, orders
// out (appended). The shell sends each order and reports how it ended.
//
// Load pattern answered: engines restart, operators relabel, demand moves, and
// the weight store gives a fixed rate. Without it: a fleet's restart asks the
// store for everything at once and nothing finishes; an engine that comes and
// goes is refilled each time; a model asked for loses its last copy to another.
//
// Rules: a model with fewer copies than it should have is served in order of
// the share it lacks, those without any copy first; at most so many loads run
// at once; a copy is taken away only when it has been superfluous for a while
// or its engine no longer belongs to the placement and another copy serves, and
// never when it is the last one of a model that is asked for.
class Placement {
 public:
  explicit Placement(const PlacementSettings& settings);

  // Commands.
  // The fence of the lease under which orders are given from now on.
  void OnFence(uint64_t fence);
  void OnSpecs(TimePoint now, std::vector<PlacementSpec> specs,
               std::vector<PlacementOrder>& orders);
  // `room`: models the engine holds at once; `models`: those it holds now.
  void OnEngineUp(TimePoint now, const std::string& engine, uint32_t room,
                  const std::vector<std::string>& models,
                  std::vector<PlacementOrder>& orders);
  void OnEngineDown(TimePoint now, const std::string& engine);
  // Somebody has asked for the model.
  void OnDemand(TimePoint now, const std::string& model);
  void OnOrderDone(TimePoint now, const PlacementOrder& order,
                   std::vector<PlacementOrder>& orders);
  void OnOrderFailed(TimePoint now, const PlacementOrder& order,
                     std::vector<PlacementOrder>& orders);
  void OnTick(TimePoint now, std::vector<PlacementOrder>& orders);

  // Queries.
  TimePoint NextWake() const { return next_wake_; }
  // Copies that serve now.
  uint32_t Copies(const std::string& model) const;
  uint32_t LoadsUnderWay() const;

 private:
  enum class CopyState { kLoading, kLoaded, kUnloading };

  struct Copy {
    CopyState state = CopyState::kLoaded;
    TimePoint superfluous_since = kNever;
  };

  struct Engine {
    bool up = false;
    TimePoint away_since;
    uint32_t room = 0;
    std::map<std::string, Copy> copies;           // by model
    std::map<std::string, TimePoint> retry_from;  // by model, after a failure
  };

  void Plan(TimePoint now, std::vector<PlacementOrder>& orders);
  void ForgetLongAway(TimePoint now);
  void MarkSuperfluous(TimePoint now);
  void UnloadSuperfluous(TimePoint now, std::vector<PlacementOrder>& orders);
  void LoadMissing(TimePoint now, std::vector<PlacementOrder>& orders);
  bool LoadOne(TimePoint now, const PlacementSpec& spec,
               std::vector<PlacementOrder>& orders);
  void Order(PlacementOrderKind kind, const std::string& engine,
             const std::string& model, std::vector<PlacementOrder>& orders);
  void WakeBy(TimePoint time);

  bool Asked(TimePoint now, const std::string& model) const;
  bool MayLoad(TimePoint now, const Engine& engine,
               const std::string& model) const;
  // Copies that count for a spec: loaded or loading, on its engines, and not
  // longer away than the settling time.
  uint32_t Counted(const PlacementSpec& spec) const;
  const PlacementSpec* SpecOf(const std::string& model) const;
  // Copies on its engines beyond the spec's count, the least needed first.
  std::vector<std::string> EnginesToFree(const std::string& model) const;

  const PlacementSettings settings_;
  uint64_t fence_ = 0;
  std::vector<PlacementSpec> specs_;
  std::map<std::string, Engine> engines_;
  std::map<std::string, TimePoint> asked_until_;  // by model
  TimePoint next_wake_ = kNever;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_PLACEMENT_H_
