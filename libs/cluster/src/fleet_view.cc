#include "cluster/fleet_view.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::cluster {

FleetView::FleetView(std::string own_name, Member own)
    : own_name_(std::move(own_name)) {
  members_[own_name_] = std::move(own);
}

void FleetView::SetMember(const std::string& name, const Member& member) {
  // The own registration is newer than any record of it.
  if (name == own_name_) return;
  const auto [known, is_new] = members_.try_emplace(name, member);
  if (!is_new && known->second == member) return;
  known->second = member;
  changed_ = true;
}

void FleetView::RemoveMember(const std::string& name) {
  if (name == own_name_) return;
  if (members_.erase(name) > 0) changed_ = true;
}

bool FleetView::SetLayout(const FleetLayout& layout) {
  if (layout_known_) return layout_ == layout;
  layout_ = layout;
  layout_known_ = true;
  changed_ = true;
  return true;
}

void FleetView::SetDeparted(const serving::Cell& cell) {
  if (departed_.insert(cell).second) changed_ = true;
}

std::vector<serving::Cell> FleetView::RemainingCells() const {
  std::vector<serving::Cell> cells = layout_.cells;
  std::erase_if(cells, [this](const serving::Cell& cell) {
    return departed_.contains(cell);
  });
  return cells;
}

bool FleetView::Refresh() {
  if (!std::exchange(changed_, false)) return false;
  if (!divided()) return true;
  cells_ = CellMap::ForDividedFleet(ZonesByGateway(), layout_.cells);
  shards_ = ShardMap(layout_.shards,
                     layout_.cells.empty() ? cells_.Cells() : RemainingCells());
  return true;
}

FleetLayout FleetView::NewLayout(size_t max_undivided) const {
  FleetLayout layout = LayoutFor(members_.size(), max_undivided);
  if (layout.divided()) {
    layout.cells = CellMap::ForDividedFleet(ZonesByGateway(), {}).Cells();
  }
  return layout;
}

std::map<std::string, std::string> FleetView::ZonesByGateway() const {
  std::map<std::string, std::string> zones;
  for (const auto& [name, member] : members_) {
    zones[name] = member.availability_zone;
  }
  return zones;
}

bool FleetView::IsPeer(const std::string& name, const std::string& zone) const {
  return !divided() || cells_.ComputeCell(name, zone) == own_cell();
}

std::vector<std::string> FleetView::Peers() const {
  std::vector<std::string> peers;
  for (const auto& [name, member] : members_) {
    if (name != own_name_ && IsPeer(name, member.availability_zone)) {
      peers.push_back(name);
    }
  }
  return peers;
}

std::vector<uint32_t> FleetView::OwnShards() const {
  return shards_.ShardsOf(own_cell());
}

std::vector<serving::Cell> FleetView::HoldingCells() const {
  std::vector<serving::Cell> holding = RemainingCells();
  std::erase_if(holding, [this](const serving::Cell& cell) {
    return shards_.ShardsOf(cell).empty();
  });
  return holding;
}

size_t FleetView::CountDeparted() const {
  return layout_.cells.size() - RemainingCells().size();
}

bool FleetView::HoldsJob(std::string_view job) const {
  return !divided() || shards_.CellOf(ShardOf(job)) == own_cell();
}

std::vector<std::string> FleetView::HoldersOf(std::string_view job) const {
  std::vector<std::string> holders =
      cells_.GatewaysIn(shards_.CellOf(ShardOf(job)));
  double strongest = 0;
  for (const std::string& holder : holders) {
    strongest = std::max(strongest, ProcessorShareOf(holder));
  }
  const uint64_t seed = Hash64(job);
  const auto rank = [&](const std::string& holder) {
    const bool strong = 2 * ProcessorShareOf(holder) >= strongest;
    return std::pair(strong, Hash64(holder, seed));
  };
  std::sort(holders.begin(), holders.end(),
            [&rank](const std::string& a, const std::string& b) {
              return rank(a) > rank(b);
            });
  return holders;
}

double FleetView::ProcessorShareOf(const std::string& name) const {
  const auto member = members_.find(name);
  return member == members_.end() ? 0 : member->second.processor_share;
}

size_t FleetView::OwnRank() const {
  const uint64_t own = Hash64(own_name_);
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(),
                    [own](const auto& m) { return Hash64(m.first) < own; }));
}

}  // namespace knapweedstile::cluster
