#include "cluster/cell_map.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile::cluster {
namespace {

using serving::Cell;
using serving::ServerRecord;

std::map<std::string, std::string> Entries(int zones, int in_zone) {
  std::map<std::string, std::string> entries;
  for (int z = 0; z < zones; ++z) {
    for (int e = 0; e < in_zone; ++e) {
      entries["entry-" + std::to_string(z) + "-" + std::to_string(e)] =
          "zone-" + std::to_string(z);
    }
  }
  return entries;
}

}  // namespace

TEST_CASE("a small fleet is one cell") {
  const CellMap cells(Entries(3, 5));
  CHECK(cells.CellOf("entry-0-0") == Cell());
  CHECK(cells.CellOf("entry-0-0").Contains({.availability_zone = "zone-2"}));
  CHECK(cells.StoreReaderCellOf("entry-0-0") == Cell());
}

// Two dozen entries in three zones: each change at a server would go to all of
// them, while those of the server's zone use it. They still follow the same two
// readers of the store; six would cost three times the calls.
TEST_CASE("the zones of a middling fleet are cells with the same readers") {
  const CellMap cells(Entries(3, 8));
  CHECK(cells.CountGateways(cells.CellOf("entry-0-0")) == 8);
  CHECK_FALSE(cells.CellOf("entry-0-0") == cells.CellOf("entry-1-0"));
  CHECK(cells.StoreReaderCellOf("entry-0-0") == Cell());
  const CellMap large(Entries(5, 12));
  CHECK(large.StoreReaderCellOf("entry-0-0") == large.CellOf("entry-0-0"));
}

TEST_CASE("the zones of a large fleet are cells") {
  const CellMap cells(Entries(5, 12));
  const Cell cell = cells.CellOf("entry-1-3");
  CHECK(cell == cells.CellOf("entry-1-11"));
  CHECK_FALSE(cell == cells.CellOf("entry-2-3"));
  CHECK(cells.CountGateways(cell) == 12);
  CHECK(cell.Contains({.instance = "i-1", .availability_zone = "zone-1"}));
  CHECK_FALSE(
      cell.Contains({.instance = "i-1", .availability_zone = "zone-2"}));
}

// Three hundred entries in five zones: were a zone one cell, each change would
// go to 59 others again.
TEST_CASE("a large zone is divided, and each server is in one part") {
  const CellMap cells(Entries(5, 60));
  std::map<Cell, size_t> parts;
  for (int e = 0; e < 60; ++e)
    ++parts[cells.CellOf("entry-3-" + std::to_string(e))];
  CHECK(parts.size() == 5);
  for (const auto& [cell, entries] : parts) CHECK(entries == 12);
  for (int s = 0; s < 100; ++s) {
    const ServerRecord server{.instance = "i-" + std::to_string(s),
                              .availability_zone = "zone-3"};
    int holders = 0;
    for (const auto& [cell, entries] : parts) holders += cell.Contains(server);
    CHECK(holders == 1);
  }
}

TEST_CASE("an entry that is not known may use the whole fleet") {
  const CellMap cells(Entries(5, 12));
  CHECK(cells.CellOf("stranger") == Cell());
}

}  // namespace knapweedstile::cluster
