#include "fleet/membership.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "base/hash.h"

namespace knapweedstile::fleet {

Membership::Membership(const MembershipSettings& settings, std::string self)
    : settings_(settings), self_(std::move(self)) {}

void Membership::OnVmList(TimePoint now, const std::vector<platform::Vm>& vms,
                          std::vector<MembershipAction>& actions) {
  list_known_ = true;
  for (const platform::Vm& vm : vms) {
    if (vm.name != self_) Learn(vm, actions);
  }
  CountAbsent(now, vms, actions);
  ChooseServers(actions);
  WantEntries(wanted_entries_, actions);
}

void Membership::Learn(const platform::Vm& vm,
                       std::vector<MembershipAction>& actions) {
  const std::optional<MemberRole> role = ParseEnum<MemberRole>(vm.role);
  // Other VMs of the platform's users stand in the same list.
  if (!role) return;
  Member& member = members_[vm.name];
  if (!member.peer) {
    member.peer = NewPeer(vm.name);
    member.name = vm.name;
    member.address = vm.address;
    names_[member.peer] = vm.name;
  }
  member.role = *role;
  member.availability_zone = vm.availability_zone;
  member.target = vm.target;
  member.absent_since.reset();
  if (member.address != vm.address) Readdress(member, vm, actions);
  TakeListState(member, vm.state);
  Reconsider(member, actions);
}

// The VM was replaced under its name: the old connection leads nowhere.
void Membership::Readdress(Member& member, const platform::Vm& vm,
                           std::vector<MembershipAction>& actions) {
  const bool wanted = member.wanted;
  Want(member, false, actions);
  member.address = vm.address;
  Want(member, wanted, actions);
}

void Membership::TakeListState(Member& member, platform::VmState state) {
  const bool leaving = state == platform::VmState::kLeaving;
  if (leaving && !member.listed_leaving) MarkLeaving(member);
  member.listed_leaving = leaving;
}

void Membership::MarkLeaving(Member& member) {
  if (member.leaving) return;
  member.leaving = true;
  member.left_incarnation = member.incarnation;
}

void Membership::CountAbsent(TimePoint now,
                             const std::vector<platform::Vm>& vms,
                             std::vector<MembershipAction>& actions) {
  std::unordered_set<std::string> present;
  for (const platform::Vm& vm : vms) {
    if (members_.contains(vm.name)) present.insert(vm.name);
  }
  if (!Believe(now, present.size())) return;
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    if (!present.contains(it->first) && !member.absent_since) {
      member.absent_since = now;
    }
    const bool gone = member.absent_since && !member.connected &&
                      now - *member.absent_since >= settings_.forget_after;
    if (!gone) {
      ++it;
      continue;
    }
    Want(member, false, actions);
    names_.erase(member.peer);
    it = members_.erase(it);
  }
}

// Failure guarded against: the platform answers with an empty or partial list,
// as after its own restart, and every entry would drop the fleet.
bool Membership::Believe(TimePoint now, size_t present) {
  const auto least =
      static_cast<double>(members_.size()) * settings_.least_share;
  if (static_cast<double>(present) >= least) {
    short_since_.reset();
    return true;
  }
  if (!short_since_) short_since_ = now;
  return now - *short_since_ >= settings_.believe_after;
}

// The servers of each target that come first by rendezvous hash with this
// entry: the choice is stable, and over all entries servers get about equally
// many.
void Membership::ChooseServers(std::vector<MembershipAction>& actions) {
  std::map<std::string, std::vector<std::pair<uint64_t, Member*>>> targets;
  for (auto& [name, member] : members_) {
    if (member.role != MemberRole::kSidecar) continue;
    targets[member.target].emplace_back(
        HashCombine(Hash64(self_), Hash64(name)), &member);
  }
  for (auto& [target, servers] : targets) {
    std::sort(servers.begin(), servers.end());
    const size_t count = settings_.servers_per_target == 0
                             ? servers.size()
                             : settings_.servers_per_target;
    for (size_t i = 0; i < servers.size(); ++i) {
      Want(*servers[i].second, i < count, actions);
    }
  }
}

void Membership::WantEntries(const std::vector<std::string>& names,
                             std::vector<MembershipAction>& actions) {
  if (&names != &wanted_entries_) wanted_entries_ = names;
  const std::unordered_set<std::string> wanted(wanted_entries_.begin(),
                                               wanted_entries_.end());
  for (auto& [name, member] : members_) {
    if (member.role != MemberRole::kEntry) continue;
    Want(member, wanted.contains(name), actions);
  }
}

void Membership::Want(Member& member, bool wanted,
                      std::vector<MembershipAction>& actions) {
  if (member.wanted == wanted) return;
  member.wanted = wanted;
  if (wanted) {
    actions.emplace_back(ConnectAction{member.peer, member.address});
    return;
  }
  actions.emplace_back(DisconnectAction{member.peer});
  member.connected = false;
  member.healthy = false;
  Reconsider(member, actions);
}

void Membership::OnPeerUp(PeerId peer, const pb::Hello& hello,
                          std::vector<MembershipAction>& actions) {
  Member* member = FindMember(peer);
  if (member == nullptr || !member->wanted) return;
  // Another VM answers at the address: the list has not caught up yet.
  if (hello.node() != member->name) return;
  member->connected = true;
  member->silent = false;
  member->healthy = false;  // until its first heartbeat, which follows at once
  member->incarnation = hello.incarnation();
  // A new process has not said goodbye.
  if (member->incarnation != member->left_incarnation) member->leaving = false;
  Reconsider(*member, actions);
}

void Membership::OnPeerDown(PeerId peer, wire::PeerDownReason reason,
                            std::vector<MembershipAction>& actions) {
  Member* member = FindMember(peer);
  if (member == nullptr) return;
  if (member->connected) {
    member->silent = reason == wire::PeerDownReason::kSilent;
  }
  if (reason == wire::PeerDownReason::kRefused) member->silent = false;
  member->connected = false;
  member->healthy = false;
  Reconsider(*member, actions);
}

void Membership::OnHeartbeat(PeerId peer, const pb::Heartbeat& heartbeat,
                             std::vector<MembershipAction>& actions) {
  Member* member = FindMember(peer);
  if (member == nullptr || !member->connected) return;
  member->healthy = heartbeat.backend_server_healthy();
  if (heartbeat.leaving()) MarkLeaving(*member);
  Reconsider(*member, actions);
}

void Membership::Reconsider(Member& member,
                            std::vector<MembershipAction>& actions) {
  const bool healthy = member.healthy || member.role == MemberRole::kEntry;
  MemberState state = MemberState::kIn;
  if (!member.connected || !healthy) state = MemberState::kDown;
  if (!member.connected && member.silent) state = MemberState::kSilent;
  if (member.connected && member.is_leaving()) state = MemberState::kLeaving;
  const MemberState before = std::exchange(member.state, state);
  if (before == state || member.role == MemberRole::kEntry) return;
  const auto out = [](MemberState s) {
    return s == MemberState::kDown || s == MemberState::kSilent;
  };
  if (state == MemberState::kIn) {
    actions.emplace_back(ServerUpAction{
        member.server(), member.name, member.target, member.availability_zone});
  } else if (state == MemberState::kLeaving) {
    if (before != MemberState::kIn) return;
    actions.emplace_back(ServerLeavingAction{member.server()});
  } else if (!out(before)) {
    actions.emplace_back(ServerDownAction{member.server()});
  }
}

const Member* Membership::Find(PeerId peer) const {
  const auto name = names_.find(peer);
  return name == names_.end() ? nullptr : &members_.at(name->second);
}

Member* Membership::FindMember(PeerId peer) {
  const auto name = names_.find(peer);
  return name == names_.end() ? nullptr : &members_.at(name->second);
}

std::vector<EntryView> Membership::Entries() const {
  std::vector<EntryView> entries;
  for (const auto& [name, member] : members_) {
    if (member.role != MemberRole::kEntry || member.is_leaving()) continue;
    entries.push_back({name, member.availability_zone});
  }
  return entries;
}

// From the name, so that every entry knows a server by the same id and sends
// prompts with the same beginning to the same server's cache.
PeerId Membership::NewPeer(const std::string& name) const {
  // Ids with the top bit set are the transport's; zero is "no peer".
  constexpr uint64_t kIdBits = ~uint64_t{0} >> 1;
  uint64_t value = (Hash64(name) & kIdBits) | 1;
  while (names_.contains(PeerId(value))) value = (value + 2) & kIdBits;
  return PeerId(value);
}

}  // namespace knapweedstile::fleet
