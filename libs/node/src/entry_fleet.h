#ifndef KNAPWEEDSTILE_NODE_ENTRY_FLEET_H_
#define KNAPWEEDSTILE_NODE_ENTRY_FLEET_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "decide/attempt_outcome.h"
#include "fleet/config_spread.h"
#include "fleet/member.h"
#include "fleet/membership.h"
#include "fleet/membership_action.h"
#include "fleet/spread_action.h"
#include "knapweedstile.pb.h"
#include "node/entry_node_settings.h"
#include "objects/catalog.h"
#include "platform/store_answer.h"
#include "policy_view.h"
#include "wire/transport_event.h"

namespace knapweedstile::node {

struct EntryPorts;
class PlatformCalls;
class RequestRunner;

// An entry's view of the fleet and of the configuration: carries out what
// fleet::Membership and fleet::ConfigSpread decide, and tells the RequestRunner
// which backend servers are in and to which pools they belong.
class EntryFleet {
 public:
  // Told of the live entries, this one included, whenever the VM list was read.
  using OnEntries =
      std::function<void(TimePoint, const std::vector<std::string>&)>;

  EntryFleet(const EntryNodeSettings& settings, uint64_t seed, TimePoint now,
             EntryPorts& ports, PlatformCalls& platform, RequestRunner& runner,
             OnEntries on_entries);

  // Commands.
  void OnPeerUp(TimePoint now, const wire::PeerUpEvent& event);
  void OnPeerDown(TimePoint now, const wire::PeerDownEvent& event);
  void OnControl(TimePoint now, const wire::ControlEvent& event);
  void OnTick(TimePoint now);
  // Heartbeats say from now on that this entry is leaving.
  void BeginLeaving() { leaving_ = true; }

  // Queries.
  const objects::Catalog& catalog() const noexcept { return catalog_; }
  const PolicyView& policies() const noexcept { return policies_; }
  // A backend server for this model or service is known, in or not.
  bool Serves(const std::string& target) const;
  // No VM offers it, and the VM list has been known long enough that none is
  // about to. An item for such a model can never be done.
  bool KnownMissing(TimePoint now, const std::string& target) const;
  // The policy that metrics name for output of this server: the one that bound
  // the traffic, else the one in force on the server.
  const std::string& PolicyOf(const std::string& route_policy,
                              BackendServerId server) const;
  // Models with a backend server in.
  std::vector<std::string> Models() const;
  // Knows the fleet and has a configuration from a sound source.
  bool ready() const noexcept {
    return membership_.list_known() && spread_.ready();
  }
  TimePoint NextWake(TimePoint now) const;
  std::map<fleet::MemberState, uint32_t> CountByState() const;
  // The parts of the status page.
  boost::json::array ServersJson() const;
  boost::json::array PoliciesJson() const;
  boost::json::array RefusedJson() const;
  boost::json::array PeersJson() const;
  void AddConfigStatus(boost::json::object& status) const;

 private:
  // What is known of one backend server besides its membership.
  struct Server {
    std::vector<std::string> pools;
    std::string policy;  // in force on it
    pb::Load load;
  };
  struct PeerClock {
    std::string node;
    int64_t offset_nanos = 0;
    int64_t round_trip_nanos = 0;
  };

  void Perform(TimePoint now);
  void PerformMembership(TimePoint now);
  void PerformSpread(TimePoint now);
  void Adopt(TimePoint now, const fleet::AdoptedAction& action);
  void Watch(const fleet::WatchAction& action);
  void ReadVmList(TimePoint now);
  void Enlist(TimePoint now, BackendServerId id);
  void OnHeartbeat(TimePoint now, PeerId peer, const pb::Heartbeat& heartbeat);
  void SendHeartbeat(TimePoint now);
  std::vector<std::string> LiveEntries() const;

  const EntryNodeSettings& settings_;
  EntryPorts& ports_;
  PlatformCalls& platform_;
  RequestRunner& runner_;
  OnEntries on_entries_;
  objects::Catalog catalog_;
  PolicyView policies_;
  fleet::Membership membership_;
  fleet::ConfigSpread spread_;
  std::vector<fleet::MembershipAction> membership_actions_;
  std::vector<fleet::SpreadAction> spread_actions_;
  std::unordered_map<BackendServerId, Server> servers_;  // those that are in
  std::unordered_map<PeerId, PeerClock> clocks_;
  bool reading_vm_list_ = false;
  TimePoint list_known_since_ = kNever;
  TimePoint next_vm_list_;
  TimePoint next_heartbeat_;
  bool leaving_ = false;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ENTRY_FLEET_H_
