#include "fleet/membership.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace knapweedstile::fleet {
namespace {

using platform::Vm;
using platform::VmState;
using std::chrono::seconds;

Vm Sidecar(const std::string& name, VmState state = VmState::kLive) {
  return {name, "10.0.0.1:1", "bern-a", "sidecar", "hundehaus-llm", state};
}

// The membership of one entry, with what it told.
struct Entry {
  explicit Entry(const MembershipSettings& settings = {})
      : membership(settings, "entry-1") {}

  void List(const std::vector<Vm>& vms, seconds at = seconds(0)) {
    membership.OnVmList(TimePoint{} + at, vms, actions);
  }
  void Up(const std::string& name, uint64_t incarnation = 1) {
    pb::Hello hello;
    hello.set_node(name);
    hello.set_incarnation(incarnation);
    membership.OnPeerUp(PeerOf(name), hello, actions);
    Beat(name);
  }
  void Beat(const std::string& name, bool leaving = false,
            bool healthy = true) {
    pb::Heartbeat heartbeat;
    heartbeat.set_backend_server_healthy(healthy);
    heartbeat.set_leaving(leaving);
    membership.OnHeartbeat(PeerOf(name), heartbeat, actions);
  }
  void Down(const std::string& name, wire::PeerDownReason reason) {
    membership.OnPeerDown(PeerOf(name), reason, actions);
  }
  PeerId PeerOf(const std::string& name) const {
    return membership.members().at(name).peer;
  }
  MemberState StateOf(const std::string& name) const {
    return membership.members().at(name).state;
  }
  template <typename Action>
  size_t Count() const {
    size_t count = 0;
    for (const auto& a : actions) count += std::holds_alternative<Action>(a);
    return count;
  }

  Membership membership;
  std::vector<MembershipAction> actions;
};

std::vector<Vm> Sidecars(size_t count) {
  std::vector<Vm> vms;
  for (size_t i = 0; i < count; ++i) {
    vms.push_back(Sidecar("engine-" + std::to_string(i)));
  }
  return vms;
}

}  // namespace

TEST_CASE("a listed sidecar is connected and in with its first heartbeat") {
  Entry entry;
  entry.List({Sidecar("engine-0")});
  REQUIRE(entry.Count<ConnectAction>() == 1);
  REQUIRE(entry.StateOf("engine-0") == MemberState::kDown);
  entry.Up("engine-0");
  REQUIRE(entry.StateOf("engine-0") == MemberState::kIn);
  REQUIRE(entry.Count<ServerUpAction>() == 1);
  entry.Beat("engine-0", false, false);
  REQUIRE(entry.StateOf("engine-0") == MemberState::kDown);
  REQUIRE(entry.Count<ServerDownAction>() == 1);
}

TEST_CASE("leaving counts from the first signal until the next process") {
  // An engine's VM is drained. Its goodbye comes at once, the list shows it as
  // live for some more seconds. A caller's request sent there in that time
  // would be cut short when the VM stops.
  Entry entry;
  entry.List({Sidecar("engine-0"), Sidecar("engine-1")});
  entry.Up("engine-0");
  entry.Up("engine-1");
  entry.Beat("engine-0", true);
  REQUIRE(entry.StateOf("engine-0") == MemberState::kLeaving);
  // The other way round: the list is first, heartbeats say nothing.
  entry.List({Sidecar("engine-0"), Sidecar("engine-1", VmState::kLeaving)});
  REQUIRE(entry.StateOf("engine-1") == MemberState::kLeaving);
  REQUIRE(entry.Count<ServerLeavingAction>() == 2);
  // Late signals of either kind do not bring them back, nor does a new
  // connection of the same process.
  entry.List({Sidecar("engine-0"), Sidecar("engine-1")});
  for (const char* name : {"engine-0", "engine-1"}) {
    entry.Beat(name);
    entry.Down(name, wire::PeerDownReason::kSilent);
    entry.Up(name);
    REQUIRE(entry.StateOf(name) == MemberState::kLeaving);
  }
  // The upgraded process does.
  entry.Down("engine-0", wire::PeerDownReason::kClosed);
  entry.Up("engine-0", 2);
  REQUIRE(entry.StateOf("engine-0") == MemberState::kIn);
}

TEST_CASE("a replaced VM that the list still shows as leaving comes in later") {
  // The list lags: the new process is up while the list tells of the old one.
  Entry entry;
  entry.List({Sidecar("engine-0", VmState::kLeaving)});
  entry.Up("engine-0", 5);
  entry.List({Sidecar("engine-0", VmState::kLeaving)});
  REQUIRE(entry.StateOf("engine-0") == MemberState::kLeaving);
  entry.List({Sidecar("engine-0")});
  REQUIRE(entry.StateOf("engine-0") == MemberState::kIn);
}

TEST_CASE("a silent connection is not held against its server") {
  // Something between the ends loses a connection. The server works; with the
  // next connection it takes requests at once.
  Entry entry;
  entry.List({Sidecar("engine-0")});
  entry.Up("engine-0");
  entry.Down("engine-0", wire::PeerDownReason::kSilent);
  REQUIRE(entry.StateOf("engine-0") == MemberState::kSilent);
  REQUIRE(entry.Count<DisconnectAction>() == 0);
  entry.Up("engine-0");
  REQUIRE(entry.StateOf("engine-0") == MemberState::kIn);
  REQUIRE(entry.Count<ServerUpAction>() == 2);
}

TEST_CASE("an empty list does not empty the fleet") {
  // The platform restarts and answers with no VMs for minutes, while a cut
  // silences half of the connections. Callers would get refusals from an idle
  // fleet if the entry dropped what the list does not show.
  Entry entry;
  entry.List(Sidecars(10));
  for (const Vm& vm : Sidecars(10)) entry.Up(vm.name);
  for (int i = 0; i < 5; ++i) {
    entry.Down("engine-" + std::to_string(i), wire::PeerDownReason::kSilent);
  }
  for (int second = 5; second < 300; second += 5) {
    entry.List({}, seconds(second));
  }
  REQUIRE(entry.membership.members().size() == 10);
  REQUIRE(entry.Count<DisconnectAction>() == 0);
  REQUIRE(entry.StateOf("engine-9") == MemberState::kIn);
  for (int i = 0; i < 5; ++i) entry.Up("engine-" + std::to_string(i));
  REQUIRE(entry.StateOf("engine-0") == MemberState::kIn);
}

TEST_CASE("a VM that is gone for good is forgotten") {
  // 79 VMs fail on an ordinary day; their members and reconnects must not
  // pile up. One that still answers is kept, whatever the list says.
  Entry entry;
  entry.List(Sidecars(10));
  for (const Vm& vm : Sidecars(10)) entry.Up(vm.name);
  entry.Down("engine-9", wire::PeerDownReason::kClosed);
  for (int second = 0; second <= 40; second += 5) {
    entry.List(Sidecars(8), seconds(second));
  }
  REQUIRE_FALSE(entry.membership.members().contains("engine-9"));
  REQUIRE(entry.Count<DisconnectAction>() == 1);
  REQUIRE(entry.StateOf("engine-8") == MemberState::kIn);
}

TEST_CASE("a fleet that has shrunk for long is believed in the end") {
  Entry entry;
  entry.List(Sidecars(10));
  for (int second = 0; second <= 700; second += 5) {
    entry.List(Sidecars(2), seconds(second));
  }
  REQUIRE(entry.membership.members().size() == 2);
}

TEST_CASE("a VM with another address is connected anew") {
  Entry entry;
  entry.List({Sidecar("engine-0")});
  entry.Up("engine-0");
  Vm moved = Sidecar("engine-0");
  moved.address = "10.0.0.2:1";
  entry.List({moved});
  REQUIRE(entry.Count<DisconnectAction>() == 1);
  REQUIRE(entry.Count<ConnectAction>() == 2);
  REQUIRE(entry.StateOf("engine-0") == MemberState::kDown);
}

TEST_CASE("another process at a VM's address is not that VM") {
  // An address was given to a new VM, and the list still shows the old one.
  Entry entry;
  entry.List({Sidecar("engine-0")});
  pb::Hello hello;
  hello.set_node("engine-7");
  entry.membership.OnPeerUp(entry.PeerOf("engine-0"), hello, entry.actions);
  entry.Beat("engine-0");
  REQUIRE(entry.StateOf("engine-0") == MemberState::kDown);
}

TEST_CASE("each entry connects to its own stable part of a large fleet") {
  MembershipSettings settings;
  settings.servers_per_target = 10;
  std::map<std::string, int> load;
  for (int e = 0; e < 200; ++e) {
    Membership membership(settings, "entry-" + std::to_string(e));
    std::vector<MembershipAction> actions;
    membership.OnVmList(TimePoint{}, Sidecars(100), actions);
    size_t wanted = 0;
    for (const auto& [name, member] : membership.members()) {
      wanted += member.wanted;
      load[name] += member.wanted;
    }
    REQUIRE(wanted == 10);
    // One VM more moves at most one connection.
    actions.clear();
    membership.OnVmList(TimePoint{}, Sidecars(101), actions);
    REQUIRE(actions.size() <= 2);
  }
  for (const auto& [name, count] : load) {
    REQUIRE(count >= 5);
    REQUIRE(count <= 40);
  }
  REQUIRE(load.size() == 100);
}

TEST_CASE("entries are connected only as far as the spread wants them") {
  Entry entry;
  entry.List(
      {{"entry-2", "10.0.0.2:1", "bern-b", "entry", "", VmState::kLive},
       {"entry-3", "10.0.0.3:1", "bern-b", "entry", "", VmState::kLeaving},
       {"entry-1", "10.0.0.1:1", "bern-b", "entry", "", VmState::kLive},
       {"database", "10.0.0.9:1", "bern-b", "other", "", VmState::kLive}});
  REQUIRE(entry.membership.Entries().size() == 1);
  REQUIRE(entry.actions.empty());
  entry.membership.WantEntries({"entry-2"}, entry.actions);
  REQUIRE(entry.Count<ConnectAction>() == 1);
  entry.membership.WantEntries({}, entry.actions);
  REQUIRE(entry.Count<DisconnectAction>() == 1);
}

}  // namespace knapweedstile::fleet
