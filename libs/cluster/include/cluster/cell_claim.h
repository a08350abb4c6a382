#ifndef KNAPWEEDSTILE_CLUSTER_CELL_CLAIM_H_
#define KNAPWEEDSTILE_CLUSTER_CELL_CLAIM_H_

#include <array>
#include <string>
#include <string_view>

#include "base/enum_names.h"
#include "serving/cell.h"

namespace knapweedstile::cluster {

enum class ClaimState {
  kClaimed,   // another cell has not heard from this one
  kRefuted,   // a gateway of the cell has answered the claim
  kDeparted,  // nobody has answered: the other cells hold its shards, for good
};

// The record in the store by which other cells take over the shards of a cell
// that has no gateway left.
//
// Each change of the state is a write on the condition that the record has not
// changed, so either the claim is refuted or the cell has departed, whatever
// gateways hear of each other. A cell that is cut off from the other cells
// keeps its shards as long as one of its gateways reaches the store.
struct CellClaim {
  serving::Cell cell;
  ClaimState state = ClaimState::kClaimed;
  std::string gateway;  // that has written the record

  bool operator==(const CellClaim&) const = default;
};

}  // namespace knapweedstile::cluster

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 3>
    kEnumNames<cluster::ClaimState> = {"claimed", "refuted", "departed"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_CLUSTER_CELL_CLAIM_H_
