#include "cluster/cell_map.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile::cluster {
namespace {

using serving::Cell;
using serving::ServerRecord;

std::map<std::string, std::string> Gateways(int zones, int in_zone) {
  std::map<std::string, std::string> gateways;
  for (int z = 0; z < zones; ++z) {
    for (int e = 0; e < in_zone; ++e) {
      gateways["entry-" + std::to_string(z) + "-" + std::to_string(e)] =
          "zone-" + std::to_string(z);
    }
  }
  return gateways;
}

}  // namespace

TEST_CASE("a small fleet is one cell") {
  const CellMap cells(Gateways(3, 5));
  CHECK(cells.CellOf("entry-0-0") == Cell());
  CHECK(cells.CellOf("entry-0-0").Contains({.availability_zone = "zone-2"}));
  CHECK(cells.StoreReaderCellOf("entry-0-0") == Cell());
}

// Twenty-four gateways in three zones: each change at a server would go to all
// of them, although mostly those of the server's zone use it. They still follow
// the same two readers of the store; six readers would cost three times the
// calls.
TEST_CASE("the zones of a medium fleet are cells with the same readers") {
  const CellMap cells(Gateways(3, 8));
  CHECK(cells.CountGateways(cells.CellOf("entry-0-0")) == 8);
  CHECK_FALSE(cells.CellOf("entry-0-0") == cells.CellOf("entry-1-0"));
  CHECK(cells.StoreReaderCellOf("entry-0-0") == Cell());
  const CellMap large(Gateways(5, 12));
  CHECK(large.StoreReaderCellOf("entry-0-0") == large.CellOf("entry-0-0"));
}

TEST_CASE("the zones of a large fleet are cells") {
  const CellMap cells(Gateways(5, 12));
  const Cell cell = cells.CellOf("entry-1-3");
  CHECK(cell == cells.CellOf("entry-1-11"));
  CHECK_FALSE(cell == cells.CellOf("entry-2-3"));
  CHECK(cells.CountGateways(cell) == 12);
  CHECK(cell.Contains({.instance = "i-1", .availability_zone = "zone-1"}));
  CHECK_FALSE(
      cell.Contains({.instance = "i-1", .availability_zone = "zone-2"}));
}

// Three hundred gateways in five zones: if a zone were one cell, each change
// would go to 59 others.
TEST_CASE("a large zone is divided, and each server is in one part") {
  const CellMap cells(Gateways(5, 60));
  std::map<Cell, size_t> parts;
  for (int e = 0; e < 60; ++e)
    ++parts[cells.CellOf("entry-3-" + std::to_string(e))];
  CHECK(parts.size() == 5);
  for (const auto& [cell, gateways] : parts) CHECK(gateways == 12);
  for (int s = 0; s < 100; ++s) {
    const ServerRecord server{.instance = "i-" + std::to_string(s),
                              .availability_zone = "zone-3"};
    int holders = 0;
    for (const auto& [cell, gateways] : parts) holders += cell.Contains(server);
    CHECK(holders == 1);
  }
}

TEST_CASE("the cell of an unknown gateway is the whole fleet") {
  const CellMap cells(Gateways(5, 12));
  CHECK(cells.CellOf("stranger") == Cell());
}

}  // namespace knapweedstile::cluster
