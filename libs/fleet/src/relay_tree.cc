#include "fleet/relay_tree.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"
#include "fleet/spread_settings.h"

namespace knapweedstile::fleet {
namespace {

// Names in rendezvous order: the same for whoever knows the same names, and a
// name that comes or goes moves no other.
void RankBy(const std::string& salt, std::vector<std::string>& names) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(names.size());
  const uint64_t seed = Hash64(salt);
  for (std::string& name : names) {
    const uint64_t hash = Hash64(name, seed);
    ranked.emplace_back(hash, std::move(name));
  }
  std::sort(ranked.begin(), ranked.end());
  names.clear();
  for (auto& [hash, name] : ranked) names.push_back(std::move(name));
}

}  // namespace

RelayTree::RelayTree(const SpreadSettings& settings, std::string self,
                     std::string availability_zone)
    : settings_(settings),
      self_(std::move(self)),
      availability_zone_(std::move(availability_zone)) {
  SetView({});
}

void RelayTree::SetView(const std::vector<EntryView>& entries) {
  zones_.clear();
  others_ = 0;
  for (const EntryView& entry : entries) {
    if (entry.name == self_) continue;
    zones_[entry.availability_zone].push_back(entry.name);
    ++others_;
  }
  zones_[availability_zone_].push_back(self_);
  for (auto& [zone, names] : zones_) RankBy(zone, names);
}

RelayTree::Ranked RelayTree::Zone(const Excluded& excluded) const {
  Ranked zone;
  for (const std::string& name : zones_.at(availability_zone_)) {
    if (name == self_ || !excluded(name)) zone.push_back(name);
  }
  return zone;
}

bool RelayTree::IsRelay(const Excluded& excluded) const {
  const Ranked zone = Zone(excluded);
  const auto self = std::find(zone.begin(), zone.end(), self_);
  return self - zone.begin() < static_cast<ptrdiff_t>(settings_.relays);
}

std::vector<std::string> RelayTree::Neighbours(const Excluded& excluded) const {
  std::vector<std::string> neighbours;
  const Ranked zone = Zone(excluded);
  const auto self = std::find(zone.begin(), zone.end(), self_);
  const auto rank = static_cast<size_t>(self - zone.begin());
  AddParents(zone, rank, neighbours);
  if (rank < settings_.relays) AddOtherZones(excluded, neighbours);
  return neighbours;
}

void RelayTree::AddParents(const Ranked& zone, size_t rank,
                           std::vector<std::string>& neighbours) const {
  if (rank == 0) return;
  if (rank < settings_.relays) {
    neighbours.push_back(zone[rank - 1]);
    return;
  }
  const size_t first = (rank - settings_.relays) / settings_.branching;
  neighbours.push_back(zone[first]);
  if (first + 1 < rank) {
    neighbours.push_back(zone[first + 1]);
  } else if (first > 0) {
    neighbours.push_back(zone[first - 1]);
  }
}

void RelayTree::AddOtherZones(const Excluded& excluded,
                              std::vector<std::string>& neighbours) const {
  // The zones form a ring by name; links to the next ones keep it connected
  // when any zone between is gone.
  auto zone = zones_.find(availability_zone_);
  size_t links = 0;
  for (size_t step = 1; step < zones_.size(); ++step) {
    if (links == settings_.zone_links) break;
    if (++zone == zones_.end()) zone = zones_.begin();
    const Ranked& names = zone->second;
    const auto head = std::find_if_not(names.begin(), names.end(), excluded);
    if (head == names.end()) continue;
    neighbours.push_back(*head);
    ++links;
  }
}

std::vector<std::string> RelayTree::Sample(size_t count) const {
  std::vector<std::string> names;
  for (const auto& [zone, ranked] : zones_) {
    for (const std::string& name : ranked) {
      if (name != self_) names.push_back(name);
    }
  }
  RankBy(self_, names);
  names.resize(std::min(count, names.size()));
  return names;
}

}  // namespace knapweedstile::fleet
