#ifndef KNAPWEEDSTILE_ADMISSION_FAIR_SHARE_H_
#define KNAPWEEDSTILE_ADMISSION_FAIR_SHARE_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/slot_room.h"
#include "admission/standing.h"
#include "admission/workspace_demand.h"
#include "base/time.h"

namespace knapweedstile::admission {

// Tells whether a workspace is within its weighted max-min fair share of a
// service's slots, over all gateways of the cell. Pure logic: no I/O, no clock,
// no threads.
//
// Designed for a workspace that takes most slots of a service while slots are
// short, at all gateways or at one, so that the requests of others find no
// room. Work-conserving: a workspace beyond its share is told so only while
// free slots are scarce and another one, within its own, has lacked room
// lately; a few slots are left free for that one. Each gateway counts its own
// requests at once; those of peers are as old as their reports. Gateways report
// only while any workspace lacks room, so there is nothing to send otherwise.
class FairShare {
 public:
  // Commands.
  void OnStarted(ServiceHash service, WorkspaceHash workspace);
  void OnEnded(ServiceHash service, WorkspaceHash workspace);
  // A request of the workspace found no slot and no queue that is short enough.
  void OnNoRoom(ServiceHash service, WorkspaceHash workspace, TimePoint now);
  // Workspaces without a weight have the weight 1.
  void SetWeights(std::unordered_map<WorkspaceHash, double> weights) {
    weights_ = std::move(weights);
  }
  // Replaces what the peer has reported before.
  void SetPeerDemand(const std::string& peer,
                     std::vector<WorkspaceDemand> demand, TimePoint now);
  void RemovePeer(const std::string& peer) { peers_.erase(peer); }
  // Drops reports that are too old.
  void Expire(TimePoint now);

  // Queries.
  Standing StandingOf(ServiceHash service, WorkspaceHash workspace,
                      const SlotRoom& room, TimePoint now) const;
  // The workspace's share of the service's slots, in slots.
  double ShareOf(ServiceHash service, WorkspaceHash workspace, uint32_t slots,
                 TimePoint now) const;
  // Whether any workspace has lacked room lately.
  bool IsShort(TimePoint now) const;
  // This gateway's report: the workspaces with the most slots by name, the
  // others as a sum. Empty while no workspace lacks room at any gateway.
  std::vector<WorkspaceDemand> Report(TimePoint now) const;

 private:
  struct Use {
    uint32_t in_use = 0;
    TimePoint no_room_at = kNever;  // the last time; kNever: not yet
  };
  struct Total {
    uint32_t in_use = 0;
    bool lacks_room = false;
  };
  struct PeerReport {
    std::vector<WorkspaceDemand> demand;
    TimePoint received_at{};
  };
  using Totals = std::unordered_map<WorkspaceHash, Total>;

  static bool LacksRoom(const Use& use, TimePoint now);
  Totals TotalsOf(ServiceHash service, TimePoint now) const;
  double WeightOf(WorkspaceHash workspace) const;
  // The slots for each unit of weight, for workspaces that want more than they
  // have.
  double FairLevel(const Totals& totals, uint32_t all_slots) const;

  std::map<ServiceHash, std::unordered_map<WorkspaceHash, Use>> own_;
  std::map<std::string, PeerReport> peers_;
  std::unordered_map<WorkspaceHash, double> weights_;
};

}  // namespace knapweedstile::admission

#endif  // KNAPWEEDSTILE_ADMISSION_FAIR_SHARE_H_
