#ifndef KNAPWEEDSTILE_CLUSTER_FLEET_VIEW_H_
#define KNAPWEEDSTILE_CLUSTER_FLEET_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/cell_map.h"
#include "cluster/fleet_layout.h"
#include "cluster/member.h"
#include "cluster/shard_map.h"
#include "serving/cell.h"

namespace knapweedstile::cluster {

// The fleet as seen by one gateway: the registered gateways, their cells, and
// which of them hold which batch jobs. Pure logic: no I/O, no clock, no
// threads.
//
// Designed for hundreds of gateways with a few requests a second each, where
// full state sent to all others would cost each gateway more than its requests.
// In a divided fleet a gateway exchanges state with its cell only, whose size
// does not grow with the fleet. A batch job is held by one cell, and the other
// cells forward its calls. What still grows is this directory, a name and an
// address per gateway, which changes only when gateways join or leave.
class FleetView {
 public:
  FleetView(std::string own_name, Member own);

  // Commands.
  void SetMember(const std::string& name, const Member& member);
  void RemoveMember(const std::string& name);
  // Returns false if another layout is in force, which stays.
  bool SetLayout(const FleetLayout& layout);
  // The cell has no gateways left, or none that may act for it: its shards are
  // held by the other cells of the layout, for good.
  void SetDeparted(const serving::Cell& cell);
  // Recomputes cells and shards if anything has changed; returns whether so.
  bool Refresh();

  // The layout for the registered gateways as a new fleet, which is divided if
  // there are more than `max_undivided`.
  FleetLayout NewLayout(size_t max_undivided) const;

  // Queries, as of the last Refresh().
  const Members& members() const noexcept { return members_; }
  const FleetLayout& layout() const noexcept { return layout_; }
  // False until SetLayout(); layout() is then that of an undivided fleet.
  bool layout_known() const noexcept { return layout_known_; }
  bool divided() const noexcept { return layout_.divided(); }
  const CellMap& cells() const noexcept { return cells_; }
  serving::Cell own_cell() const { return cells_.CellOf(own_name_); }
  // Whether a gateway of that name and zone exchanges state with this one.
  bool IsPeer(const std::string& name, const std::string& zone) const;
  // Names of the registered peers.
  std::vector<std::string> Peers() const;
  // Shards that this gateway's cell holds.
  std::vector<uint32_t> OwnShards() const;
  // Cells that hold shards, in a layout that names its cells.
  std::vector<serving::Cell> HoldingCells() const;
  // Cells of the layout that have departed.
  size_t CountDeparted() const;
  uint32_t ShardOf(std::string_view job) const { return shards_.ShardOf(job); }
  bool HoldsJob(std::string_view job) const;
  // Names of the gateways that hold the job, those of the cell with the most
  // cores first, then by rendezvous hashing, so that all gateways with the same
  // view try them in the same order. The first holder sends the records of the
  // job to the whole cell, which takes a second on the link of a small VM, and
  // callers wait as long.
  std::vector<std::string> HoldersOf(std::string_view job) const;
  // Cores of a registered gateway; zero if it is not registered.
  double ProcessorShareOf(const std::string& name) const;
  // Rank of this gateway by the hash of its name; the gateway of rank zero acts
  // for the fleet first.
  size_t OwnRank() const;

 private:
  std::map<std::string, std::string> ZonesByGateway() const;
  // Those of the layout that have not departed.
  std::vector<serving::Cell> RemainingCells() const;

  std::string own_name_;
  Members members_;
  FleetLayout layout_;
  bool layout_known_ = false;
  std::set<serving::Cell> departed_;
  CellMap cells_;
  ShardMap shards_;
  bool changed_ = true;
};

}  // namespace knapweedstile::cluster

#endif  // KNAPWEEDSTILE_CLUSTER_FLEET_VIEW_H_
