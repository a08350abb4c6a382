#include "cluster/cell_watch.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "cluster/cell_claim.h"
#include "cluster/fleet_view.h"

namespace knapweedstile::cluster {
namespace {

using std::chrono::milliseconds;
using Cell = serving::Cell;

Cell CellOf(int zone) {
  return {.availability_zone =
              "zone-" + std::string(1, static_cast<char>('a' + zone))};
}

std::vector<Cell> MakeCells(int count) {
  std::vector<Cell> cells(static_cast<size_t>(count));
  for (int zone = 0; zone < count; ++zone) cells[zone] = CellOf(zone);
  return cells;
}

CellWatch MakeWatch(const std::vector<Cell>& cells, const Cell& own) {
  CellWatch watch;
  watch.SetHoldingCells(cells, own);
  watch.SetProbing(true);
  return watch;
}

// Lets the probed cells that are in `live` answer from `begin` on.
TimePoint RunFor(CellWatch& watch, const std::vector<Cell>& live,
                 TimePoint begin, milliseconds duration) {
  TimePoint now = begin;
  for (; now < begin + duration; now += milliseconds(100)) {
    watch.Update(now);
    for (const Cell& cell : watch.ProbedCells()) {
      if (std::find(live.begin(), live.end(), cell) != live.end())
        watch.OnAnswer(cell, now);
    }
  }
  return now;
}

}  // namespace

TEST_CASE("in a fleet without losses each cell is probed by one other") {
  const std::vector<Cell> cells = MakeCells(20);
  std::vector<Cell> probed;
  for (const Cell& own : cells) {
    CellWatch watch = MakeWatch(cells, own);
    const TimePoint end = RunFor(watch, cells, TimePoint(), milliseconds(9000));
    CHECK(watch.SilentCells(end).empty());
    for (const Cell& cell : watch.ProbedCells()) probed.push_back(cell);
  }
  std::sort(probed.begin(), probed.end());
  CHECK(probed == cells);
}

// Guards against cells that nobody watches because their watchers were lost
// with them.
TEST_CASE("all lost cells are known as silent to one remaining cell") {
  const std::vector<Cell> cells = MakeCells(20);
  for (int remaining = 1; remaining < 20; ++remaining) {
    CAPTURE(remaining);
    const std::vector<Cell> live(cells.begin(), cells.begin() + remaining);
    std::vector<Cell> silent;
    for (const Cell& own : live) {
      CellWatch watch = MakeWatch(cells, own);
      const TimePoint end =
          RunFor(watch, live, TimePoint(), milliseconds(30000));
      for (const Cell& cell : watch.SilentCells(end)) silent.push_back(cell);
    }
    std::sort(silent.begin(), silent.end());
    CHECK(silent == std::vector<Cell>(cells.begin() + remaining, cells.end()));
  }
}

// Guards against a gateway that takes its own suspension for the silence of
// others.
TEST_CASE("silence before a reset does not count") {
  const std::vector<Cell> cells = MakeCells(2);
  CellWatch watch = MakeWatch(cells, cells[0]);
  TimePoint now = RunFor(watch, {}, TimePoint(), milliseconds(5000));
  CHECK(watch.SilentCells(now) == std::vector<Cell>{cells[1]});
  watch.Reset();
  watch.Update(now);
  CHECK(watch.SilentCells(now).empty());
}

TEST_CASE("a cell that holds no shards probes none") {
  CellWatch watch = MakeWatch(MakeCells(3), CellOf(7));
  watch.Update(TimePoint());
  CHECK_FALSE(watch.IsInRing());
  CHECK(watch.ProbedCells().empty());
}

// Guards against jobs that move between remaining cells when another departs.
TEST_CASE("only the shards of a departed cell are held by others") {
  const std::vector<Cell> cells = MakeCells(4);
  FleetView fleet("a", {.address = "127.0.0.1:1",
                        .availability_zone = cells[0].availability_zone});
  for (const Cell& cell : cells) {
    fleet.SetMember("gateway-" + cell.availability_zone,
                    {.address = "127.0.0.1:2",
                     .availability_zone = cell.availability_zone});
  }
  fleet.SetLayout({.shards = 32, .cells = cells});
  fleet.Refresh();
  const auto holder_of = [&](int job) {
    return fleet.HoldersOf("job-" + std::to_string(job)).back();
  };
  std::vector<std::string> before(200);
  for (int job = 0; job < 200; ++job) before[job] = holder_of(job);
  fleet.SetDeparted(cells[3]);
  REQUIRE(fleet.Refresh());
  CHECK(fleet.CountDeparted() == 1);
  CHECK(fleet.HoldingCells() ==
        std::vector<Cell>(cells.begin(), cells.begin() + 3));
  const std::string departed = "gateway-" + cells[3].availability_zone;
  for (int job = 0; job < 200; ++job) {
    CAPTURE(job);
    CHECK(holder_of(job) != departed);
    if (before[job] != departed) CHECK(holder_of(job) == before[job]);
  }
}

}  // namespace knapweedstile::cluster
