#ifndef KNAPWEEDSTILE_GATEWAY_CELL_CLAIMS_H_
#define KNAPWEEDSTILE_GATEWAY_CELL_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/time.h"
#include "cluster/cell_claim.h"
#include "observe/metrics.h"
#include "platform/store_answer.h"
#include "serving/cell.h"

namespace knapweedstile::gateway {

class StoreCalls;

// Reads and writes the records that decide whether a cell has departed
// (cluster::CellClaim). They are part of the member directory, which every
// gateway follows.
//
// A gateway that does not hear a cell claims it. The gateways of the cell
// refute the claim. If it has stood for kClaimStands, it is confirmed.
class CellClaims {
 public:
  // `departed`: called for each cell that has departed, maybe repeatedly.
  CellClaims(StoreCalls& store, std::string own_name, observe::Metrics& metrics,
             std::function<void(const serving::Cell&)> departed);

  // Commands.
  void SetOwnCell(const serving::Cell& cell) { own_cell_ = cell; }
  // The record was read, or has changed.
  void OnRecord(const platform::StoredObject& object, TimePoint now);
  // Another cell does not answer: claims it, or confirms the claim.
  void OnSilent(const serving::Cell& cell, TimePoint now);
  // Reads whether the own cell has departed, as after a suspension of this
  // process. Until then is_confirmed() is false.
  void ReadOwnClaim(TimePoint now);
  // Refutes a claim of the own cell. `turn`: delays the write, so that the
  // gateways of the cell do not write at the same time.
  void Run(TimePoint now, Duration turn);

  // Queries.
  // Whether a departure of the own cell would be known here.
  bool is_confirmed() const noexcept { return confirmed_; }

 private:
  struct Known {
    uint64_t version = 0;  // of the record; zero: there is none
    cluster::ClaimState state = cluster::ClaimState::kRefuted;
    TimePoint seen_at{};  // when this version became known
    bool calling = false;
    TimePoint call_again_at{};
  };

  void Write(const serving::Cell& cell, cluster::ClaimState state);
  void Read(const serving::Cell& cell);
  void OnRead(const serving::Cell& cell, TimePoint began,
              const platform::StoreAnswer& answer);
  void SetKnown(const cluster::CellClaim& claim, uint64_t version,
                TimePoint now);

  StoreCalls& store_;
  std::string own_name_;
  observe::Metrics& metrics_;
  std::function<void(const serving::Cell&)> departed_;
  serving::Cell own_cell_;
  std::map<serving::Cell, Known> known_;
  bool confirmed_ = true;
  TimePoint read_own_at_ = kNever;
  TimePoint confirms_from_{};  // earlier reads confirm nothing
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_CELL_CLAIMS_H_
