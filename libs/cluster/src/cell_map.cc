#include "cluster/cell_map.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::cluster {
namespace {

using serving::Cell;

// A fleet of up to this many entries is one cell: every free slot can be used
// by all, and what each tells all others costs little.
constexpr size_t kMostInOneFleet = 16;
// Reading costs a call for each reader and little to pass on: up to this many
// entries follow the same readers, whatever their cells.
constexpr size_t kMostAfterSameReaders = 32;
// A zone of more entries is divided into cells of about half as many.
constexpr size_t kMostInCell = 24;
constexpr size_t kUsualInCell = 12;

uint32_t PartsOf(size_t entries) {
  if (entries <= kMostInCell) return 1;
  return static_cast<uint32_t>((entries + kUsualInCell - 1) / kUsualInCell);
}

// Gateways of a cell of a divided fleet, at the least in the mean.
constexpr size_t kFewestInDividedCell = 10;

// A power of two, so that a zone that grows splits cells and moves no gateway
// between two others.
uint32_t DividedPartsOf(size_t gateways) {
  const size_t most = std::max<size_t>(gateways / kFewestInDividedCell, 1);
  return static_cast<uint32_t>(std::bit_floor(most));
}

}  // namespace

CellMap::CellMap(const std::map<std::string, std::string>& zones) {
  if (zones.size() <= kMostInOneFleet) return;
  std::map<std::string, std::vector<std::string>> entries_by_zone;
  for (const auto& [entry, zone] : zones) {
    entries_by_zone[zone].push_back(entry);
  }
  for (const auto& [zone, entries] : entries_by_zone) {
    const uint32_t parts = PartsOf(entries.size());
    // By turns in the order of their names, so that all parts are alike.
    for (size_t i = 0; i < entries.size(); ++i) {
      cells_[entries[i]] = {.availability_zone = zone,
                            .parts = parts,
                            .part = static_cast<uint32_t>(i % parts)};
    }
  }
}

CellMap CellMap::ForDividedFleet(
    const std::map<std::string, std::string>& zones) {
  std::map<std::string, size_t> gateways_by_zone;
  for (const auto& [gateway, zone] : zones) ++gateways_by_zone[zone];
  CellMap map;
  for (const auto& [zone, gateways] : gateways_by_zone) {
    map.parts_by_zone_[zone] = DividedPartsOf(gateways);
  }
  for (const auto& [gateway, zone] : zones) {
    map.cells_[gateway] = map.ComputeCell(gateway, zone);
  }
  return map;
}

Cell CellMap::ComputeCell(const std::string& gateway,
                          const std::string& zone) const {
  const auto known = parts_by_zone_.find(zone);
  const uint32_t parts = known == parts_by_zone_.end() ? 1 : known->second;
  return {.availability_zone = zone,
          .parts = parts,
          .part = static_cast<uint32_t>(Hash64(gateway) % parts)};
}

Cell CellMap::CellOf(const std::string& entry) const {
  const auto known = cells_.find(entry);
  return known == cells_.end() ? Cell() : known->second;
}

Cell CellMap::StoreReaderCellOf(const std::string& entry) const {
  return cells_.size() <= kMostAfterSameReaders ? Cell() : CellOf(entry);
}

size_t CellMap::CountGateways(const Cell& cell) const {
  return std::count_if(
      cells_.begin(), cells_.end(),
      [&cell](const auto& entry) { return entry.second == cell; });
}

std::vector<std::string> CellMap::GatewaysIn(const Cell& cell) const {
  std::vector<std::string> gateways;
  for (const auto& [gateway, its_cell] : cells_) {
    if (its_cell == cell) gateways.push_back(gateway);
  }
  return gateways;
}

std::vector<Cell> CellMap::Cells() const {
  std::set<Cell> cells;
  for (const auto& [gateway, cell] : cells_) cells.insert(cell);
  return {cells.begin(), cells.end()};
}

}  // namespace knapweedstile::cluster
