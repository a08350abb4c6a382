#include "entry_fleet.h"

#include <algorithm>
#include <boost/json/value.hpp>
#include <set>
#include <type_traits>
#include <utility>
#include <variant>

#include "base/hash.h"
#include "base/log.h"
#include "config_apply.h"
#include "entry_ports.h"
#include "fleet/entry_view.h"
#include "objects/object_kind.h"
#include "platform_calls.h"
#include "request_runner.h"

namespace knapweedstile::node {
namespace {

namespace json = boost::json;
using fleet::Member;
using fleet::MemberRole;
using fleet::MemberState;

// A list that lags may lack the VMs of a model that is just being started.
constexpr std::chrono::seconds kMissingGrace{10};

fleet::MembershipSettings MembershipSettingsOf(
    const EntryNodeSettings& settings) {
  fleet::MembershipSettings membership;
  membership.servers_per_target = settings.servers_per_target;
  membership.forget_after = settings.forget_after;
  return membership;
}

fleet::SpreadSettings SpreadSettingsOf(const EntryNodeSettings& settings) {
  fleet::SpreadSettings spread;
  spread.relays = settings.relays;
  spread.watch_wait = settings.watch_wait;
  spread.watch_gap = settings.watch_gap;
  return spread;
}

}  // namespace

EntryFleet::EntryFleet(const EntryNodeSettings& settings, uint64_t seed,
                       TimePoint now, EntryPorts& ports,
                       PlatformCalls& platform, RequestRunner& runner,
                       OnEntries on_entries)
    : settings_(settings),
      ports_(ports),
      platform_(platform),
      runner_(runner),
      on_entries_(std::move(on_entries)),
      policies_(catalog_),
      membership_(MembershipSettingsOf(settings), settings.node.name),
      spread_(SpreadSettingsOf(settings),
              {settings.node.name, settings.node.availability_zone, true}, seed,
              now) {}

void EntryFleet::OnPeerUp(TimePoint now, const wire::PeerUpEvent& event) {
  LogInfo("peer_up",
          {{"node", event.hello.node()}, {"accepted", event.accepted}});
  clocks_[event.peer].node = event.hello.node();
  membership_.OnPeerUp(event.peer, event.hello, membership_actions_);
  spread_.OnPeerUp(now, event.peer, event.hello, spread_actions_);
  Perform(now);
}

void EntryFleet::OnPeerDown(TimePoint now, const wire::PeerDownEvent& event) {
  if (const auto clock = clocks_.extract(event.peer)) {
    LogInfo("peer_down",
            {{"node", clock.mapped().node}, {"reason", NameOf(event.reason)}});
  }
  membership_.OnPeerDown(event.peer, event.reason, membership_actions_);
  spread_.OnPeerDown(now, event.peer, spread_actions_);
  Perform(now);
}

void EntryFleet::OnControl(TimePoint now, const wire::ControlEvent& event) {
  switch (event.control.kind_case()) {
    case pb::Control::kHeartbeat:
      clocks_[event.peer].offset_nanos = event.clock_offset_nanos;
      clocks_[event.peer].round_trip_nanos = event.round_trip_nanos;
      OnHeartbeat(now, event.peer, event.control.heartbeat());
      break;
    case pb::Control::kConfigRequest:
      spread_.OnRequest(event.peer, event.control.config_request(),
                        spread_actions_);
      break;
    case pb::Control::kConfigDelta:
      spread_.OnDelta(now, event.peer, event.control.config_delta(),
                      spread_actions_);
      break;
    case pb::Control::kHello:
    case pb::Control::KIND_NOT_SET:
      break;
  }
  Perform(now);
}

void EntryFleet::OnHeartbeat(TimePoint now, PeerId peer,
                             const pb::Heartbeat& heartbeat) {
  membership_.OnHeartbeat(peer, heartbeat, membership_actions_);
  spread_.OnHeartbeat(now, peer, heartbeat, spread_actions_);
  for (const pb::QuarantineNotice& notice : heartbeat.quarantine()) {
    runner_.OnQuarantined(
        now, notice.fingerprint(),
        now + std::chrono::milliseconds(notice.remaining_ms()));
  }
  // A server that is in from this heartbeat on is enlisted before its load.
  Perform(now);
  const BackendServerId id(peer.value());
  const auto server = servers_.find(id);
  if (server == servers_.end() || !heartbeat.has_load()) return;
  server->second.load = heartbeat.load();
  runner_.OnLoad(now, id, heartbeat.load());
}

void EntryFleet::OnTick(TimePoint now) {
  ReadVmList(now);
  spread_.OnTick(now, spread_actions_);
  if (now >= next_heartbeat_) SendHeartbeat(now);
  Perform(now);
}

void EntryFleet::Perform(TimePoint now) {
  while (!membership_actions_.empty() || !spread_actions_.empty()) {
    PerformMembership(now);
    PerformSpread(now);
  }
}

void EntryFleet::PerformMembership(TimePoint now) {
  for (const auto& action : std::exchange(membership_actions_, {})) {
    if (const auto* connect = std::get_if<fleet::ConnectAction>(&action)) {
      ports_.wire(wire::ConnectCommand{connect->peer, connect->address});
    } else if (const auto* cut =
                   std::get_if<fleet::DisconnectAction>(&action)) {
      ports_.wire(wire::DisconnectCommand{cut->peer});
    } else if (const auto* up = std::get_if<fleet::ServerUpAction>(&action)) {
      LogInfo("backend_server_in", {{"vm", up->name}});
      servers_[up->server] = {};
      Enlist(now, up->server);
    } else if (const auto* leaving =
                   std::get_if<fleet::ServerLeavingAction>(&action)) {
      LogInfo("backend_server_leaving", {{"id", leaving->server.value()}});
      servers_.erase(leaving->server);
      runner_.OnBackendServerLeaving(now, leaving->server);
    } else if (const auto* down =
                   std::get_if<fleet::ServerDownAction>(&action)) {
      LogInfo("backend_server_out", {{"id", down->server.value()}});
      servers_.erase(down->server);
      runner_.OnBackendServerDown(now, down->server);
    }
  }
}

void EntryFleet::PerformSpread(TimePoint now) {
  for (auto& action : std::exchange(spread_actions_, {})) {
    if (auto* send = std::get_if<fleet::SendConfigAction>(&action)) {
      ports_.wire(
          wire::SendControlCommand{send->peer, std::move(send->control)});
    } else if (const auto* watch = std::get_if<fleet::WatchAction>(&action)) {
      Watch(*watch);
    } else if (const auto* adopted =
                   std::get_if<fleet::AdoptedAction>(&action)) {
      Adopt(now, *adopted);
    } else if (const auto* wanted =
                   std::get_if<fleet::NeighboursAction>(&action)) {
      membership_.WantEntries(wanted->names, membership_actions_);
    } else if (std::holds_alternative<fleet::ReadyAction>(action)) {
      LogInfo("config_ready", {{"revision", spread_.store().revision()}});
    }
  }
}

void EntryFleet::Adopt(TimePoint now, const fleet::AdoptedAction& action) {
  ApplyAll(catalog_, action.objects);
  for (const auto& [id, server] : servers_) Enlist(now, id);
  // Announced at once: each hop of the tree would otherwise wait half a
  // heartbeat on average.
  SendHeartbeat(now);
}

void EntryFleet::Watch(const fleet::WatchAction& action) {
  platform::WatchRequest watch;
  for (const std::string_view kind : kEnumNames<objects::ObjectKind>) {
    watch.kinds.emplace_back(kind);
  }
  watch.after = action.after;
  watch.wait_until = action.wait_until;
  platform_.Call(
      {0, std::move(watch), action.wait_until + settings_.platform_deadline},
      [this](TimePoint at, platform::StoreAnswer&& answer) {
        fleet::WatchAnswer watched;
        watched.ok = answer.outcome == platform::StoreOutcome::kOk;
        watched.objects = std::move(answer.objects);
        watched.revision = answer.revision;
        watched.more = answer.more;
        watched.retry_after = answer.retry_after;
        spread_.OnWatchAnswer(at, std::move(watched), spread_actions_);
        Perform(at);
      });
}

void EntryFleet::ReadVmList(TimePoint now) {
  if (reading_vm_list_ || now < next_vm_list_) return;
  reading_vm_list_ = true;
  platform_.Call(
      {0, platform::VmListRequest{}, now + settings_.platform_deadline},
      [this](TimePoint at, platform::StoreAnswer&& answer) {
        reading_vm_list_ = false;
        next_vm_list_ = at + settings_.vm_list_period;
        if (answer.outcome != platform::StoreOutcome::kOk) return;
        list_known_since_ = std::min(list_known_since_, at);
        membership_.OnVmList(at, answer.vms, membership_actions_);
        spread_.OnView(at, membership_.Entries(), spread_actions_);
        on_entries_(at, LiveEntries());
        Perform(at);
      });
}

std::vector<std::string> EntryFleet::LiveEntries() const {
  std::vector<std::string> names{settings_.node.name};
  for (const fleet::EntryView& entry : membership_.Entries()) {
    names.push_back(entry.name);
  }
  return names;
}

// Also for a server that is in: its pools may have changed.
void EntryFleet::Enlist(TimePoint now, BackendServerId id) {
  const Member* member = membership_.Find(PeerId(id.value()));
  if (member == nullptr) return;
  auto pools = policies_.PoolsOf(member->name, member->availability_zone,
                                 member->target);
  Server& server = servers_[id];
  server.policy =
      policies_
          .SharingOf(member->name, member->availability_zone, member->target)
          .name;
  if (pools == server.pools) return;
  server.pools = pools;
  runner_.OnBackendServerUp(now, id, std::move(pools),
                            member->availability_zone);
}

void EntryFleet::SendHeartbeat(TimePoint now) {
  next_heartbeat_ = now + settings_.node.heartbeat_period / 2;
  wire::SetHeartbeatCommand command;
  command.heartbeat.set_leaving(leaving_);
  spread_.Announce(command.heartbeat);
  for (const auto& [fingerprint, until] : runner_.Quarantined()) {
    pb::QuarantineNotice& notice = *command.heartbeat.add_quarantine();
    notice.set_fingerprint(fingerprint);
    notice.set_remaining_ms(ToMillis(Remaining(until, now)));
  }
  ports_.wire(std::move(command));
}

bool EntryFleet::Serves(const std::string& target) const {
  const auto& members = membership_.members();
  return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
    return entry.second.role == MemberRole::kSidecar &&
           entry.second.target == target;
  });
}

bool EntryFleet::KnownMissing(TimePoint now, const std::string& target) const {
  return list_known_since_ != kNever &&
         now >= list_known_since_ + kMissingGrace && !Serves(target);
}

const std::string& EntryFleet::PolicyOf(const std::string& route_policy,
                                        BackendServerId server) const {
  const auto found = servers_.find(server);
  const bool bound = route_policy != kNoTrafficPolicy;
  return bound || found == servers_.end() ? route_policy : found->second.policy;
}

std::vector<std::string> EntryFleet::Models() const {
  std::set<std::string> models;
  for (const auto& [name, member] : membership_.members()) {
    const bool model = member.role == MemberRole::kSidecar &&
                       !catalog_.services().contains(member.target);
    if (model && member.state == MemberState::kIn) {
      models.insert(member.target);
    }
  }
  return {models.begin(), models.end()};
}

TimePoint EntryFleet::NextWake(TimePoint now) const {
  return std::min(spread_.NextWake(now), next_heartbeat_);
}

std::map<MemberState, uint32_t> EntryFleet::CountByState() const {
  std::map<MemberState, uint32_t> counts;
  for (const auto& [name, member] : membership_.members()) {
    if (member.role == MemberRole::kSidecar) ++counts[member.state];
  }
  return counts;
}

json::array EntryFleet::ServersJson() const {
  json::array servers;
  for (const auto& [name, member] : membership_.members()) {
    if (member.role != MemberRole::kSidecar) continue;
    json::object server{{"name", name},
                        {"target", member.target},
                        {"availability_zone", member.availability_zone},
                        {"state", NameOf(member.state)}};
    const auto known = servers_.find(member.server());
    if (known != servers_.end()) {
      const pb::Load& load = known->second.load;
      server["load"] = {{"slots", load.slots()},
                        {"online_running", load.online_running()},
                        {"online_waiting", load.online_waiting()},
                        {"batch_running", load.batch_running()},
                        {"batch_waiting", load.batch_waiting()}};
      server["policy"] = known->second.policy;
    }
    servers.push_back(std::move(server));
  }
  return servers;
}

json::array EntryFleet::PoliciesJson() const {
  const auto shadowed = catalog_.ShadowedPolicies();
  json::array policies;
  for (const auto& [name, policy] : catalog_.policies()) {
    json::array by;
    if (const auto others = shadowed.find(name); others != shadowed.end()) {
      for (const std::string& other : others->second) {
        by.push_back(json::value(other));
      }
    }
    policies.push_back({{"name", name},
                        {"version", policy.version},
                        {"priority", policy.priority},
                        {"sharing", NameOf(policy.sharing.kind)},
                        {"shadowed_by", std::move(by)}});
  }
  return policies;
}

json::array EntryFleet::RefusedJson() const {
  json::array refused;
  for (const objects::RefusedObject& object : catalog_.Refused()) {
    refused.push_back({{"object", object.id},
                       {"version", object.version},
                       {"version_in_force", object.version_in_force},
                       {"reason", object.reason}});
  }
  return refused;
}

json::array EntryFleet::PeersJson() const {
  json::array peers;
  for (const auto& [peer, clock] : clocks_) {
    peers.push_back({{"node", clock.node},
                     {"offset_nanos", clock.offset_nanos},
                     {"round_trip_nanos", clock.round_trip_nanos}});
  }
  return peers;
}

void EntryFleet::AddConfigStatus(json::object& status) const {
  status["config_revision"] = spread_.store().revision();
  status["config_digest"] = HexOf(spread_.store().digest());
  status["config_relay"] = spread_.relay();
}

}  // namespace knapweedstile::node
