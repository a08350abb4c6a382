#include "cluster/cell_map.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::cluster {
namespace {

using serving::Cell;

// A fleet of up to this many gateways is one cell: every free slot can be used
// by all, and reports from all to all cost little.
constexpr size_t kMaxGatewaysInSingleCell = 16;
// Store reads cost a call per reader and little to distribute: up to this many
// gateways follow the same readers, whatever their cells.
constexpr size_t kMaxGatewaysWithSharedReaders = 32;
// A zone of more gateways is divided into cells of about half as many.
constexpr size_t kMaxGatewaysPerCell = 24;
constexpr size_t kTargetGatewaysPerCell = 12;

uint32_t PartsOf(size_t gateways) {
  if (gateways <= kMaxGatewaysPerCell) return 1;
  return static_cast<uint32_t>((gateways + kTargetGatewaysPerCell - 1) /
                               kTargetGatewaysPerCell);
}

// Minimum average number of gateways in a cell of a divided fleet.
constexpr size_t kMinGatewaysPerDividedCell = 10;

// A power of two, so that a growing zone splits cells and moves no gateway
// between two existing cells.
uint32_t DividedPartsOf(size_t gateways) {
  const size_t max_parts =
      std::max<size_t>(gateways / kMinGatewaysPerDividedCell, 1);
  return static_cast<uint32_t>(std::bit_floor(max_parts));
}

}  // namespace

CellMap::CellMap(const std::map<std::string, std::string>& zones) {
  if (zones.size() <= kMaxGatewaysInSingleCell) return;
  std::map<std::string, std::vector<std::string>> gateways_by_zone;
  for (const auto& [gateway, zone] : zones) {
    gateways_by_zone[zone].push_back(gateway);
  }
  for (const auto& [zone, gateways] : gateways_by_zone) {
    const uint32_t parts = PartsOf(gateways.size());
    // Round-robin in the order of their names, so that all parts have about the
    // same size.
    for (size_t i = 0; i < gateways.size(); ++i) {
      cells_[gateways[i]] = {.availability_zone = zone,
                             .parts = parts,
                             .part = static_cast<uint32_t>(i % parts)};
    }
  }
}

CellMap CellMap::ForDividedFleet(
    const std::map<std::string, std::string>& zones,
    const std::vector<Cell>& fixed) {
  std::map<std::string, size_t> gateways_by_zone;
  for (const auto& [gateway, zone] : zones) ++gateways_by_zone[zone];
  CellMap map;
  for (const auto& [zone, gateways] : gateways_by_zone) {
    map.parts_by_zone_[zone] = DividedPartsOf(gateways);
  }
  for (const Cell& cell : fixed) {
    map.parts_by_zone_[cell.availability_zone] = cell.parts;
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

Cell CellMap::CellOf(const std::string& gateway) const {
  const auto known = cells_.find(gateway);
  return known == cells_.end() ? Cell() : known->second;
}

Cell CellMap::StoreReaderCellOf(const std::string& gateway) const {
  return cells_.size() <= kMaxGatewaysWithSharedReaders ? Cell()
                                                        : CellOf(gateway);
}

size_t CellMap::CountGateways(const Cell& cell) const {
  return std::count_if(
      cells_.begin(), cells_.end(),
      [&cell](const auto& element) { return element.second == cell; });
}

std::vector<std::string> CellMap::GatewaysIn(const Cell& cell) const {
  std::vector<std::string> gateways;
  for (const auto& [gateway, gateway_cell] : cells_) {
    if (gateway_cell == cell) gateways.push_back(gateway);
  }
  return gateways;
}

std::vector<Cell> CellMap::Cells() const {
  std::set<Cell> cells;
  for (const auto& [gateway, cell] : cells_) cells.insert(cell);
  return {cells.begin(), cells.end()};
}

}  // namespace knapweedstile::cluster
