#ifndef KNAPWEEDSTILE_CLUSTER_CELL_MAP_H_
#define KNAPWEEDSTILE_CLUSTER_CELL_MAP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "serving/cell.h"

namespace knapweedstile::cluster {

// Assigns gateways to cells, from the reachable gateways and their availability
// zones. Pure logic: no I/O, no clock, no threads. Two gateways that reach
// different sets of gateways may disagree for a moment; a change of usage then
// arrives late, with the next full report.
//
// Designed for gateways that start and end some twenty requests a second each.
// Sent to all gateways, the changes grow with the square of the fleet, and each
// would have to be delayed for so long that others take the same slot in the
// meantime.
class CellMap {
 public:
  using Cell = serving::Cell;

  // Availability zones by gateway name.
  explicit CellMap(const std::map<std::string, std::string>& zones);
  CellMap() = default;
  // The cells of a divided fleet, from all registered gateways. A zone that has
  // some of the cells `fixed` keeps their number, so that the cell of a gateway
  // depends only on its name and zone; others are divided by their size.
  static CellMap ForDividedFleet(
      const std::map<std::string, std::string>& zones,
      const std::vector<Cell>& fixed);

  // The cell of a gateway; the whole fleet if the gateway is unknown.
  Cell CellOf(const std::string& gateway) const;
  // The cell whose store readers the gateway follows.
  Cell StoreReaderCellOf(const std::string& gateway) const;
  // The cell of a gateway of a divided fleet, also before it is registered.
  Cell ComputeCell(const std::string& gateway, const std::string& zone) const;
  // Number of gateways in the cell.
  size_t CountGateways(const Cell& cell) const;
  std::vector<std::string> GatewaysIn(const Cell& cell) const;
  // All cells with at least one gateway.
  std::vector<Cell> Cells() const;

 private:
  std::map<std::string, Cell> cells_;  // by gateway
  // Of a divided fleet: the number of cells of each zone.
  std::map<std::string, uint32_t> parts_by_zone_;
};

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_CELL_MAP_H_
