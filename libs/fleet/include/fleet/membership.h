#ifndef KNAPWEEDSTILE_FLEET_MEMBERSHIP_H_
#define KNAPWEEDSTILE_FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "fleet/entry_view.h"
#include "fleet/member.h"
#include "fleet/membership_action.h"
#include "fleet/membership_settings.h"
#include "knapweedstile.pb.h"
#include "platform/store_answer.h"
#include "wire/transport_event.h"

namespace knapweedstile::fleet {

// Which backend servers and entries there are, from three sources that
// disagree: the VM list (lags, has outages), connections with their heartbeats
// (a connection may fail while its server works), and goodbyes.
//
// Rules and the failures they guard against:
// - Leaving counts from whichever signal comes first, and lasts until the
//   process has started anew: a list that lags behind a goodbye would
//   otherwise bring the server back for its last seconds.
// - A connection that ends in silence says nothing about the server. It is out
//   while it cannot be reached and in with the first heartbeat of the next
//   connection; nothing is counted against it.
// - Whoever is connected is not forgotten, whatever the list says: heartbeats
//   are the newer and more direct evidence.
// - A list that is empty or has lost half of the known VMs is an outage of the
//   list, not of the fleet. It adds VMs but counts no VM as absent until it has
//   been that short for `believe_after`.
//
// Events and the time go in, actions come out (appended). No network, clock,
// thread or log.
class Membership {
 public:
  // `self`: this node's VM, which is not its own member.
  Membership(const MembershipSettings& settings, std::string self);

  // Commands.
  void OnVmList(TimePoint now, const std::vector<platform::Vm>& vms,
                std::vector<MembershipAction>& actions);
  // Entries to connect to, for the spread of configuration.
  void WantEntries(const std::vector<std::string>& names,
                   std::vector<MembershipAction>& actions);
  // Peers that this module did not connect to are passed over.
  void OnPeerUp(PeerId peer, const pb::Hello& hello,
                std::vector<MembershipAction>& actions);
  void OnPeerDown(PeerId peer, wire::PeerDownReason reason,
                  std::vector<MembershipAction>& actions);
  void OnHeartbeat(PeerId peer, const pb::Heartbeat& heartbeat,
                   std::vector<MembershipAction>& actions);

  // Queries.
  const std::map<std::string, Member>& members() const noexcept {
    return members_;  // by VM name
  }
  const Member* Find(PeerId peer) const;
  // Entries that are not leaving, this one not included.
  std::vector<EntryView> Entries() const;
  bool list_known() const noexcept { return list_known_; }

 private:
  void Learn(const platform::Vm& vm, std::vector<MembershipAction>& actions);
  void Readdress(Member& member, const platform::Vm& vm,
                 std::vector<MembershipAction>& actions);
  void TakeListState(Member& member, platform::VmState state);
  void CountAbsent(TimePoint now, const std::vector<platform::Vm>& vms,
                   std::vector<MembershipAction>& actions);
  bool Believe(TimePoint now, size_t present);
  void MarkLeaving(Member& member);
  void ChooseServers(std::vector<MembershipAction>& actions);
  void Want(Member& member, bool wanted,
            std::vector<MembershipAction>& actions);
  void Reconsider(Member& member, std::vector<MembershipAction>& actions);
  Member* FindMember(PeerId peer);
  PeerId NewPeer(const std::string& name) const;

  const MembershipSettings settings_;
  const std::string self_;
  std::map<std::string, Member> members_;
  std::unordered_map<PeerId, std::string> names_;
  std::vector<std::string> wanted_entries_;
  std::optional<TimePoint> short_since_;  // the list is not believed
  bool list_known_ = false;
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_MEMBERSHIP_H_
