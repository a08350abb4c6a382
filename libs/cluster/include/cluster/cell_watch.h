#ifndef KNAPWEEDSTILE_CLUSTER_CELL_WATCH_H_
#define KNAPWEEDSTILE_CLUSTER_CELL_WATCH_H_

#include <chrono>
#include <map>
#include <vector>

#include "base/time.h"
#include "serving/cell.h"

namespace knapweedstile::cluster {

// Determines which other cells of a divided fleet this gateway probes, and
// which of them have been silent for long. Pure logic: no I/O, no clock, no
// threads; the caller passes the time.
//
// The cells that hold shards form a ring. Each cell probes its predecessor and,
// while that is silent, the cells before it up to one that answers: cells that
// are lost together are all probed, and a fleet without losses sends the probes
// of one cell per cell. Silence alone proves nothing; see CellClaim.
class CellWatch {
 public:
  using Cell = serving::Cell;

  // Time without an answer after which a cell counts as silent. Longer than two
  // pauses between probes.
  static constexpr std::chrono::milliseconds kSilence{3000};

  // Commands.
  //
  // Sets the cells that hold shards. A cell that is not among them probes none.
  void SetHoldingCells(const std::vector<Cell>& holding, const Cell& own);
  // Sets whether this gateway probes on behalf of its cell.
  void SetProbing(bool probing);
  // Drops what is known, as after a suspension of this process: answers may
  // have been missed.
  void Reset() { answered_at_.clear(); }
  // A gateway of the cell has answered a probe.
  void OnAnswer(const Cell& cell, TimePoint now);
  // Extends or shortens the list of the probed cells.
  void Update(TimePoint now);

  // Queries, as of the last Update().
  std::vector<Cell> ProbedCells() const;
  std::vector<Cell> SilentCells(TimePoint now) const;
  // Whether other cells hold shards besides this one, so that it is probed.
  bool IsInRing() const noexcept { return !predecessors_.empty(); }

 private:
  std::vector<Cell> predecessors_;  // the nearest first
  bool probing_ = false;
  // When each probed cell answered last, or was added.
  std::map<Cell, TimePoint> answered_at_;
};

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_CELL_WATCH_H_
