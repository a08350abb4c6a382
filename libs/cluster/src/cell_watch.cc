#include "cluster/cell_watch.h"

#include <algorithm>

#include "base/hash.h"

namespace knapweedstile::cluster {
namespace {

// The cell before a silent one is probed as well from then on: well before
// kSilence, so that a row of lost cells is noticed soon after the first.
constexpr std::chrono::milliseconds kProbeNextAfter{1200};

// Neighbours in the ring are mostly in different availability zones.
uint64_t RingPosition(const serving::Cell& cell) {
  return HashCombine(Hash64(cell.availability_zone),
                     HashCombine(cell.parts, cell.part));
}

}  // namespace

void CellWatch::SetHoldingCells(const std::vector<Cell>& holding,
                                const Cell& own) {
  predecessors_.clear();
  std::vector<Cell> ring = holding;
  std::sort(ring.begin(), ring.end(), [](const Cell& a, const Cell& b) {
    return RingPosition(a) < RingPosition(b);
  });
  const auto at = std::find(ring.begin(), ring.end(), own);
  if (at == ring.end()) return answered_at_.clear();
  std::rotate(ring.begin(), at, ring.end());
  predecessors_.assign(ring.rbegin(), ring.rend() - 1);
}

void CellWatch::SetProbing(bool probing) {
  if (probing != probing_) answered_at_.clear();
  probing_ = probing;
}

void CellWatch::OnAnswer(const Cell& cell, TimePoint now) {
  const auto probed = answered_at_.find(cell);
  if (probed != answered_at_.end()) probed->second = now;
}

void CellWatch::Update(TimePoint now) {
  std::map<Cell, TimePoint> probed;
  if (probing_) {
    for (const Cell& cell : predecessors_) {
      const auto known = answered_at_.find(cell);
      const TimePoint answered_at =
          known == answered_at_.end() ? now : known->second;
      probed[cell] = answered_at;
      if (now - answered_at < kProbeNextAfter) break;
    }
  }
  answered_at_ = std::move(probed);
}

std::vector<serving::Cell> CellWatch::ProbedCells() const {
  std::vector<Cell> cells;
  for (const auto& [cell, answered_at] : answered_at_) cells.push_back(cell);
  return cells;
}

std::vector<serving::Cell> CellWatch::SilentCells(TimePoint now) const {
  std::vector<Cell> cells;
  for (const auto& [cell, answered_at] : answered_at_) {
    if (now - answered_at >= kSilence) cells.push_back(cell);
  }
  return cells;
}

}  // namespace knapweedstile::cluster
