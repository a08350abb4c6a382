#include "serving/cell_map.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace knapweedstile::serving {
namespace {

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

Cell CellMap::Of(const std::string& entry) const {
  const auto known = cells_.find(entry);
  return known == cells_.end() ? Cell() : known->second;
}

Cell CellMap::ReadersOf(const std::string& entry) const {
  return cells_.size() <= kMostAfterSameReaders ? Cell() : Of(entry);
}

size_t CellMap::EntriesIn(const Cell& cell) const {
  return std::count_if(
      cells_.begin(), cells_.end(),
      [&cell](const auto& entry) { return entry.second == cell; });
}

}  // namespace knapweedstile::serving
