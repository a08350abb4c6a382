#ifndef KNAPWEEDSTILE_CLUSTER_CELL_MAP_H_
#define KNAPWEEDSTILE_CLUSTER_CELL_MAP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serving/cell.h"

namespace knapweedstile::cluster {

// Which cell each entry is in, from the entries that are heard of and their
// availability zones. No network, clock or thread. Two entries that hear of
// different ones may differ for a moment; a change then arrives late, with the
// next whole state.
//
// Load pattern: every entry starts and ends some twenty requests a second. Sent
// to all others, changes grow with the square of the fleet, and each has to be
// held back for so long that others take the same slot meanwhile.
class CellMap {
 public:
  using Cell = serving::Cell;

  // Availability zone by entry.
  explicit CellMap(const std::map<std::string, std::string>& zones);
  CellMap() = default;
  // The cells of a divided fleet, from all registered gateways. A gateway's
  // cell depends on its name and zone only, as long as the zone keeps about its
  // size, so that one that comes or goes moves no other.
  static CellMap ForDividedFleet(
      const std::map<std::string, std::string>& zones);

  // The whole fleet for an entry that is not known.
  Cell CellOf(const std::string& entry) const;
  // The cell whose readers of the store the entry follows.
  Cell StoreReaderCellOf(const std::string& entry) const;
  // The same for a gateway of a divided fleet that is not registered yet.
  Cell ComputeCell(const std::string& gateway, const std::string& zone) const;
  // Entries of the cell.
  size_t CountGateways(const Cell& cell) const;
  std::vector<std::string> GatewaysIn(const Cell& cell) const;
  // All cells that have gateways.
  std::vector<Cell> Cells() const;

 private:
  std::map<std::string, Cell> cells_;  // by gateway
  // Of a divided fleet: the number of cells of each zone.
  std::map<std::string, uint32_t> parts_by_zone_;
};

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_CELL_MAP_H_
