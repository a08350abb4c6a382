#include "decide/placement.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::decide {
namespace {

bool Lists(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Spreads a model's copies evenly and the same way in every process.
uint64_t Affinity(const std::string& model, const std::string& engine) {
  return Hash64(engine, Hash64(model));
}

}  // namespace

Placement::Placement(const PlacementSettings& settings) : settings_(settings) {}

void Placement::OnFence(uint64_t fence) { fence_ = fence; }

void Placement::OnSpecs(TimePoint now, std::vector<PlacementSpec> specs,
                        std::vector<PlacementOrder>& orders) {
  specs_ = std::move(specs);
  Plan(now, orders);
}

void Placement::OnEngineUp(TimePoint now, const std::string& name,
                           uint32_t room,
                           const std::vector<std::string>& models,
                           std::vector<PlacementOrder>& orders) {
  Engine& engine = engines_[name];
  engine.up = true;
  engine.room = room;
  // The engine's own account replaces what was known: a restart empties it.
  engine.copies.clear();
  for (const std::string& model : models) engine.copies[model] = {};
  Plan(now, orders);
}

void Placement::OnEngineDown(TimePoint now, const std::string& name) {
  const auto found = engines_.find(name);
  if (found == engines_.end() || !found->second.up) return;
  found->second.up = false;
  found->second.away_since = now;
  WakeBy(now + settings_.settle);
}

void Placement::OnDemand(TimePoint now, const std::string& model) {
  asked_until_[model] = now + settings_.demand_memory;
}

void Placement::OnOrderDone(TimePoint now, const PlacementOrder& order,
                            std::vector<PlacementOrder>& orders) {
  const auto engine = engines_.find(order.engine);
  if (engine != engines_.end()) {
    if (order.kind == PlacementOrderKind::kUnload) {
      engine->second.copies.erase(order.model);
    } else {
      // Also when the engine has come up anew since: the answer is of this run
      // of the engine, or its connection would have ended without one.
      engine->second.copies[order.model].state = CopyState::kLoaded;
    }
  }
  Plan(now, orders);
}

void Placement::OnOrderFailed(TimePoint now, const PlacementOrder& order,
                              std::vector<PlacementOrder>& orders) {
  const auto engine = engines_.find(order.engine);
  if (engine != engines_.end()) {
    engine->second.retry_from[order.model] = now + settings_.retry_after;
    if (order.kind == PlacementOrderKind::kLoad) {
      engine->second.copies.erase(order.model);
    } else if (engine->second.copies.contains(order.model)) {
      engine->second.copies[order.model].state = CopyState::kLoaded;
    }
  }
  Plan(now, orders);
}

void Placement::OnTick(TimePoint now, std::vector<PlacementOrder>& orders) {
  Plan(now, orders);
}

uint32_t Placement::Copies(const std::string& model) const {
  uint32_t copies = 0;
  for (const auto& [name, engine] : engines_) {
    const auto copy = engine.copies.find(model);
    copies += engine.up && copy != engine.copies.end() &&
              copy->second.state == CopyState::kLoaded;
  }
  return copies;
}

uint32_t Placement::LoadsUnderWay() const {
  uint32_t loads = 0;
  for (const auto& [name, engine] : engines_) {
    for (const auto& [model, copy] : engine.copies) {
      loads += engine.up && copy.state == CopyState::kLoading;
    }
  }
  return loads;
}

void Placement::Plan(TimePoint now, std::vector<PlacementOrder>& orders) {
  next_wake_ = kNever;
  ForgetLongAway(now);
  MarkSuperfluous(now);
  UnloadSuperfluous(now, orders);
  LoadMissing(now, orders);
}

void Placement::ForgetLongAway(TimePoint now) {
  std::erase_if(engines_, [&](const auto& entry) {
    const Engine& engine = entry.second;
    return !engine.up && engine.away_since + settings_.settle <= now;
  });
  for (const auto& [name, engine] : engines_) {
    if (!engine.up) WakeBy(engine.away_since + settings_.settle);
  }
}

void Placement::MarkSuperfluous(TimePoint now) {
  std::set<std::string> models;
  for (const auto& [name, engine] : engines_) {
    for (const auto& [model, copy] : engine.copies) models.insert(model);
  }
  for (const std::string& model : models) {
    const std::vector<std::string> to_free = EnginesToFree(model);
    for (auto& [name, engine] : engines_) {
      const auto copy = engine.copies.find(model);
      if (copy == engine.copies.end()) continue;
      TimePoint& since = copy->second.superfluous_since;
      since = Lists(to_free, name) ? std::min(since, now) : kNever;
    }
  }
}

// Guards against two faults: flapping (a copy is taken away and loaded again)
// by the settling time, and an outage of a model that is asked for by keeping
// its last copy until another serves.
void Placement::UnloadSuperfluous(TimePoint now,
                                  std::vector<PlacementOrder>& orders) {
  for (auto& [name, engine] : engines_) {
    if (!engine.up) continue;
    for (auto& [model, copy] : engine.copies) {
      if (copy.state != CopyState::kLoaded) continue;
      if (copy.superfluous_since == kNever) continue;
      const TimePoint from = copy.superfluous_since + settings_.settle;
      if (from > now) {
        WakeBy(from);
        continue;
      }
      if (settings_.keep_last_copy && Copies(model) <= 1 && Asked(now, model)) {
        const auto asked = asked_until_.find(model);
        if (asked != asked_until_.end()) WakeBy(asked->second);
        continue;
      }
      copy.state = CopyState::kUnloading;
      Order(PlacementOrderKind::kUnload, name, model, orders);
    }
  }
}

void Placement::LoadMissing(TimePoint now,
                            std::vector<PlacementOrder>& orders) {
  std::vector<const PlacementSpec*> missing;
  for (const PlacementSpec& spec : specs_) {
    if (Counted(spec) < spec.replicas) missing.push_back(&spec);
  }
  // The smallest share of its copies first; none at all is the smallest.
  const auto has_less = [&](const PlacementSpec* a, const PlacementSpec* b) {
    return uint64_t{Counted(*a)} * b->replicas <
           uint64_t{Counted(*b)} * a->replicas;
  };
  while (!missing.empty() && LoadsUnderWay() < settings_.concurrent_loads) {
    const auto next =
        std::min_element(missing.begin(), missing.end(), has_less);
    const bool ordered = LoadOne(now, **next, orders);
    if (!ordered || Counted(**next) >= (*next)->replicas) missing.erase(next);
  }
}

bool Placement::LoadOne(TimePoint now, const PlacementSpec& spec,
                        std::vector<PlacementOrder>& orders) {
  std::pair<size_t, uint64_t> best_rank;
  const std::string* best = nullptr;
  for (const std::string& name : spec.engines) {
    const auto found = engines_.find(name);
    if (found == engines_.end()) continue;
    const Engine& engine = found->second;
    if (engine.up && engine.retry_from.contains(spec.model)) {
      const TimePoint from = engine.retry_from.at(spec.model);
      if (from > now) WakeBy(from);
    }
    if (!MayLoad(now, engine, spec.model)) continue;
    const std::pair rank(engine.copies.size(), Affinity(spec.model, name));
    if (best != nullptr && best_rank <= rank) continue;
    best = &name;
    best_rank = rank;
  }
  if (best == nullptr) return false;
  engines_[*best].copies[spec.model] = {.state = CopyState::kLoading};
  Order(PlacementOrderKind::kLoad, *best, spec.model, orders);
  return true;
}

void Placement::Order(PlacementOrderKind kind, const std::string& engine,
                      const std::string& model,
                      std::vector<PlacementOrder>& orders) {
  orders.push_back({kind, engine, model, fence_});
}

void Placement::WakeBy(TimePoint time) {
  next_wake_ = std::min(next_wake_, time);
}

bool Placement::Asked(TimePoint now, const std::string& model) const {
  if (SpecOf(model) != nullptr) return true;
  const auto found = asked_until_.find(model);
  return found != asked_until_.end() && now < found->second;
}

bool Placement::MayLoad(TimePoint now, const Engine& engine,
                        const std::string& model) const {
  if (!engine.up || engine.copies.contains(model)) return false;
  if (engine.copies.size() >= engine.room) return false;
  const auto retry = engine.retry_from.find(model);
  return retry == engine.retry_from.end() || retry->second <= now;
}

uint32_t Placement::Counted(const PlacementSpec& spec) const {
  uint32_t counted = 0;
  for (const std::string& name : spec.engines) {
    const auto engine = engines_.find(name);
    if (engine == engines_.end()) continue;
    const auto copy = engine->second.copies.find(spec.model);
    counted += copy != engine->second.copies.end() &&
               copy->second.state != CopyState::kUnloading;
  }
  return counted;
}

const PlacementSpec* Placement::SpecOf(const std::string& model) const {
  const auto found =
      std::find_if(specs_.begin(), specs_.end(),
                   [&](const auto& spec) { return spec.model == model; });
  return found == specs_.end() ? nullptr : &*found;
}

std::vector<std::string> Placement::EnginesToFree(
    const std::string& model) const {
  const PlacementSpec* spec = SpecOf(model);
  std::vector<std::string> to_free;
  std::vector<std::string> eligible;
  for (const auto& [name, engine] : engines_) {
    const auto copy = engine.copies.find(model);
    if (copy == engine.copies.end()) continue;
    if (copy->second.state == CopyState::kUnloading) continue;
    const bool belongs = spec != nullptr && Lists(spec->engines, name);
    (belongs ? eligible : to_free).push_back(name);
  }
  if (spec == nullptr || eligible.size() <= spec->replicas) return to_free;
  // Beyond the count, the copies that rank last are superfluous; the ranking
  // does not change with time, so the choice does not either.
  std::sort(eligible.begin(), eligible.end(),
            [&](const std::string& a, const std::string& b) {
              return Affinity(model, a) < Affinity(model, b);
            });
  to_free.insert(to_free.end(), eligible.begin() + spec->replicas,
                 eligible.end());
  return to_free;
}

}  // namespace knapweedstile::decide
