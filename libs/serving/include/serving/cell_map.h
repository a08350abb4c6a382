#ifndef KNAPWEEDSTILE_SERVING_CELL_MAP_H_
#define KNAPWEEDSTILE_SERVING_CELL_MAP_H_

#include <cstddef>
#include <map>
#include <string>

#include "serving/cell.h"

namespace knapweedstile::serving {

// Which cell each entry is in, from the entries that are heard of and their
// availability zones. No network, clock or thread. Two entries that hear of
// different ones may differ for a moment; a change then arrives late, with the
// next whole state.
//
// Load pattern: every entry starts and ends some twenty requests a second. Told
// to all others, changes grow with the square of the fleet: with 58 entries
// each had to be held back for 57 ms, in which others took the same slot.
class CellMap {
 public:
  // Availability zone by entry.
  explicit CellMap(const std::map<std::string, std::string>& zones);
  CellMap() = default;

  // The whole fleet for an entry that is not known.
  Cell Of(const std::string& entry) const;
  // The cell whose readers of the store the entry follows.
  Cell ReadersOf(const std::string& entry) const;
  // Entries of the cell.
  size_t EntriesIn(const Cell& cell) const;

 private:
  std::map<std::string, Cell> cells_;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CELL_MAP_H_
