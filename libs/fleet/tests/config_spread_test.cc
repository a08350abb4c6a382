#include "fleet/config_spread.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "spread_simulation.h"

namespace knapweedstile::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// The letter's bound for a change to be in force everywhere.
constexpr Duration kInForceWithin = seconds(13);

// A started fleet with some objects.
struct Fleet : SpreadSimulation {
  explicit Fleet(uint64_t seed, const SimulationShape& shape = {})
      : SpreadSimulation(shape, {}, seed) {
    for (int i = 0; i < 20; ++i) platform.Put("p" + std::to_string(i), "v");
    Changed();
    RunFor(seconds(20));
    REQUIRE(Settled());
  }
  void Change(const std::string& name) {
    platform.Put(name, "changed");
    Changed();
  }
  ~Fleet() { CHECK(went_back() == 0); }
};

pb::Heartbeat Announcing(uint64_t revision, uint64_t digest = 1) {
  pb::Heartbeat heartbeat;
  heartbeat.set_config_revision(revision);
  heartbeat.set_config_digest(digest);
  heartbeat.set_config_ready(true);
  return heartbeat;
}

// One node whose peers and platform the test plays.
struct OneNode {
  OneNode() : spread({}, {"entry-0", "bern-a", true}, 1, TimePoint{}) {}

  void Tick(Duration at) { spread.OnTick(TimePoint{} + at, actions); }
  void Up(uint64_t peer, const std::string& name) {
    pb::Hello hello;
    hello.set_node(name);
    hello.set_role(pb::ROLE_ENTRY);
    spread.OnPeerUp(TimePoint{}, PeerId(peer), hello, actions);
  }
  // The request that was sent last, if the newest action is one.
  const SendConfigAction* LastRequest() const {
    for (auto it = actions.rbegin(); it != actions.rend(); ++it) {
      const auto* send = std::get_if<SendConfigAction>(&*it);
      if (send != nullptr && send->control.has_config_request()) return send;
    }
    return nullptr;
  }
  void Answer(uint64_t revision, const std::string& name, bool more = false) {
    const SendConfigAction* request = LastRequest();
    pb::ConfigDelta delta;
    delta.set_token(request->control.config_request().token());
    delta.set_full(true);
    delta.set_more(more);
    delta.set_revision(revision);
    pb::ConfigObject& object = *delta.add_objects();
    object.set_kind("policy");
    object.set_name(name);
    object.set_revision(revision);
    spread.OnDelta(TimePoint{}, request->peer, delta, actions);
  }

  ConfigSpread spread;
  std::vector<SpreadAction> actions;
};

}  // namespace

TEST_CASE("a change is in force everywhere within 13 s") {
  SimulationShape shape;
  shape.entries_per_zone = 40;
  shape.sidecars = 120;
  Fleet fleet(1, shape);
  REQUIRE(fleet.CountRelays() == 2 * shape.zones);
  for (int i = 0; i < 5; ++i) {
    fleet.Change("p3");
    fleet.RunFor(kInForceWithin);
    REQUIRE(fleet.Settled());
  }
}

TEST_CASE("writes of other kinds do not move the configuration") {
  // Jobs and results are written hundreds of times a second in the same
  // history. If each moved the revision, the whole fleet would pull for ever.
  Fleet fleet(2);
  const uint64_t revision = fleet.spread(0).store().revision();
  for (int i = 0; i < 100; ++i) {
    fleet.platform.WriteOtherKinds(300);
    fleet.RunFor(seconds(1));
  }
  REQUIRE(fleet.spread(0).store().revision() == revision);
  // Relays that look at different times agree on the revision.
  for (int i = 0; i < 10; ++i) {
    fleet.Change("p1");
    fleet.platform.WriteOtherKinds(100);
    fleet.RunFor(milliseconds(300));
  }
  fleet.Change("p1");
  const uint64_t last = fleet.platform.version();
  fleet.platform.WriteOtherKinds(100);
  fleet.RunFor(kInForceWithin);
  REQUIRE(fleet.Settled());
  for (size_t i = 0; i < fleet.size(); ++i) {
    REQUIRE(fleet.spread(i).store().revision() == last);
  }
}

TEST_CASE("both relays of a zone die and the list still shows them") {
  // Two VMs fail within the lag of the VM list. Their zone would hear of no
  // change until the list catches up, and serve an old policy meanwhile.
  SimulationShape shape;
  shape.entries_per_zone = 40;
  shape.sidecars = 0;
  Fleet fleet(3, shape);
  size_t killed = 0;
  for (size_t i = 0; i < fleet.entries(); ++i) {
    if (fleet.zone(i) != "zone-0" || !fleet.spread(i).relay()) continue;
    fleet.Kill(i);
    ++killed;
  }
  REQUIRE(killed == 2);
  fleet.Change("p5");
  fleet.RunFor(kInForceWithin);
  REQUIRE(fleet.Settled());
}

TEST_CASE("a zone that is cut off keeps its state and catches up") {
  // A zone is apart for ten minutes, from the others and from the platform's
  // changes that reach them first; it serves on with what it has.
  Fleet fleet(4);
  std::set<size_t> side;
  for (size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.zone(i) == "zone-1") side.insert(i);
  }
  fleet.Cut(side);
  fleet.RunFor(minutes(10));
  fleet.Change("p7");
  fleet.RunFor(kInForceWithin);
  // Its own relays reach the platform.
  REQUIRE(fleet.Settled());
  fleet.Heal();
  fleet.RunFor(seconds(60));
  fleet.Change("p8");
  fleet.RunFor(kInForceWithin);
  REQUIRE(fleet.Settled());
}

TEST_CASE("a zone whose relays do not reach the platform hears from others") {
  // The way from one zone to the platform is broken, that to other zones works.
  SimulationShape shape;
  shape.sidecars = 0;
  Fleet fleet(8, shape);
  fleet.zones_without_platform.insert("zone-2");
  fleet.RunFor(minutes(1));
  fleet.Change("p6");
  fleet.RunFor(kInForceWithin);
  REQUIRE(fleet.Settled());
}

TEST_CASE("an outage of the platform drops nothing and starts nodes") {
  // The platform is out for an hour. Nodes restart in that time and must serve
  // the newest configuration from their peers; afterwards changes go on.
  Fleet fleet(5);
  fleet.Change("p9");
  fleet.RunFor(seconds(20));
  const uint64_t digest = fleet.platform.digest();
  fleet.Outage(true);
  const uint64_t calls = fleet.platform_calls();
  fleet.RunFor(minutes(30));
  // Watches are tried again with a bounded rate: 6 relays, 5 s at the least
  // once the wait has grown.
  REQUIRE(fleet.platform_calls() - calls < 6 * 30 * 60 / 5 + 100);
  for (const size_t i : {0, 1, 2, 10, 20, 30}) {
    fleet.Kill(i);
    fleet.Start(i);
  }
  fleet.RunFor(minutes(1));
  REQUIRE(fleet.CountWith(digest) == fleet.size());
  REQUIRE(fleet.Settled());
  fleet.Outage(false);
  fleet.Change("p9");
  fleet.RunFor(kInForceWithin + seconds(10));  // the longest retry wait
  REQUIRE(fleet.Settled());
}

TEST_CASE("a node that reaches nobody watches for itself") {
  // One entry is cut off from all others but not from the platform and its
  // callers. In a large zone it would try parent after parent for minutes.
  SimulationShape shape;
  shape.entries_per_zone = 100;
  shape.sidecars = 0;
  Fleet fleet(6, shape);
  size_t leaf = 0;
  while (fleet.links(leaf) != 2) ++leaf;
  fleet.Cut({leaf});
  fleet.RunFor(seconds(20));
  fleet.Change("p2");
  fleet.RunFor(kInForceWithin);
  REQUIRE(fleet.Settled());
}

TEST_CASE("a change that was lost on its way is found by the digest") {
  // A fault of ours loses one object of an answer. Revisions are equal
  // everywhere afterwards, so nobody would ever ask again.
  Fleet fleet(7);
  size_t lost = 0;
  fleet.tamper = [&](size_t, pb::Control& control) {
    const bool hit = control.has_config_delta() && lost < 6 &&
                     control.config_delta().objects_size() > 0;
    if (hit) {
      control.mutable_config_delta()->mutable_objects()->RemoveLast();
      ++lost;
    }
    return true;
  };
  fleet.Change("p4");
  bool damaged = false;
  for (int i = 0; i < 5000; ++i) {
    fleet.RunFor(milliseconds(1));
    damaged |= fleet.Damaged(fleet.platform.version());
  }
  fleet.tamper = nullptr;
  REQUIRE(lost == 6);
  REQUIRE(damaged);
  fleet.RunFor(minutes(2));
  REQUIRE(fleet.Settled());
}

TEST_CASE("a node that starts in an outage serves the highest of its peers") {
  // The first peer that answers was cut off until a moment ago. A node that
  // served its configuration would take callers back to an older one.
  OneNode node;
  node.spread.OnView(TimePoint{}, {{"entry-1", "bern-a"}}, node.actions);
  node.Up(1, "entry-1");
  node.spread.OnHeartbeat(TimePoint{}, PeerId(1), Announcing(5), node.actions);
  node.Answer(5, "old");
  REQUIRE(node.spread.store().revision() == 5);
  REQUIRE_FALSE(node.spread.ready());
  node.Up(2, "entry-2");
  node.Up(3, "entry-3");
  node.spread.OnHeartbeat(TimePoint{}, PeerId(2), Announcing(9), node.actions);
  node.spread.OnHeartbeat(TimePoint{}, PeerId(3), Announcing(7), node.actions);
  REQUIRE_FALSE(node.spread.ready());
  node.Answer(9, "new");
  REQUIRE(node.spread.ready());
  REQUIRE(node.spread.store().revision() == 9);
  // A late answer with an older state changes nothing.
  node.Answer(7, "older");
  REQUIRE(node.spread.store().revision() == 9);
}

TEST_CASE("a relay repairs itself from the platform only") {
  // A relay has lost an object by a fault of ours and sees another digest at
  // its own revision. Which of the two is right only the platform knows.
  OneNode node;
  const auto watch = [&] { return std::get<WatchAction>(node.actions.back()); };
  const auto listed = [&](uint64_t revision) {
    WatchAnswer answer;
    answer.ok = true;
    answer.objects = {{"policy", "a", 3, false, ""},
                      {"policy", "b", 4, false, ""}};
    answer.revision = revision;
    return answer;
  };
  WatchAnswer damaged = listed(9);
  damaged.objects.pop_back();
  node.Tick(seconds(2));
  REQUIRE(watch().after == 0);
  node.spread.OnWatchAnswer(TimePoint{} + seconds(2), std::move(damaged),
                            node.actions);
  REQUIRE(node.spread.relay());
  node.Up(1, "entry-1");
  const auto differ = [&] {
    node.spread.OnHeartbeat(TimePoint{} + seconds(3), PeerId(1),
                            Announcing(node.spread.store().revision()),
                            node.actions);
  };
  differ();
  REQUIRE(node.LastRequest() == nullptr);
  node.Tick(seconds(4));
  REQUIRE(watch().after == 0);
  node.spread.OnWatchAnswer(TimePoint{} + seconds(4), listed(20), node.actions);
  REQUIRE(node.spread.store().size() == 2);
  REQUIRE(node.spread.store().revision() == 20);
  // The peer is the one that is wrong: a list that confirms moves nothing, or
  // the nodes below would take the whole state again and again.
  node.Tick(seconds(30));
  node.spread.OnWatchAnswer(TimePoint{} + seconds(30), {.ok = true},
                            node.actions);
  node.spread.OnHeartbeat(TimePoint{} + seconds(30), PeerId(1), Announcing(20),
                          node.actions);
  node.Tick(seconds(40));
  REQUIRE(watch().after == 0);
  node.spread.OnWatchAnswer(TimePoint{} + seconds(40), listed(70),
                            node.actions);
  REQUIRE(node.spread.store().revision() == 20);
}

TEST_CASE("a peer that is not ready itself makes nobody ready") {
  // Every node restarts in an outage: with empty stores they would otherwise
  // find each other equal and serve nothing as their configuration.
  OneNode node;
  for (uint64_t peer = 1; peer <= 4; ++peer) {
    node.Up(peer, "entry-" + std::to_string(peer));
    pb::Heartbeat empty;
    node.spread.OnHeartbeat(TimePoint{}, PeerId(peer), empty, node.actions);
  }
  node.Tick(minutes(5));
  REQUIRE_FALSE(node.spread.ready());
}

TEST_CASE("a peer that does not answer is passed over") {
  // A peer's process hangs after its heartbeat. The node asks another one.
  OneNode node;
  node.Up(1, "entry-1");
  node.Up(2, "entry-2");
  node.spread.OnHeartbeat(TimePoint{}, PeerId(1), Announcing(5), node.actions);
  node.spread.OnHeartbeat(TimePoint{}, PeerId(2), Announcing(5), node.actions);
  const PeerId first = node.LastRequest()->peer;
  REQUIRE(first == PeerId(1));
  node.Tick(seconds(3));
  REQUIRE(node.LastRequest()->peer == PeerId(2));
}

TEST_CASE("the end of a given-up answer does not pass for the next one") {
  // A peer stalls in the middle of its answer. The node gives up, later asks
  // the same peer again, and the rest of the first answer arrives: taken for
  // the whole of the second, it would leave out what came before.
  OneNode node;
  node.Up(1, "entry-1");
  node.spread.OnHeartbeat(TimePoint{}, PeerId(1), Announcing(5), node.actions);
  const uint64_t first_token =
      node.LastRequest()->control.config_request().token();
  node.Answer(5, "first half", true);
  node.Tick(seconds(3));
  node.Tick(seconds(20));
  pb::ConfigDelta rest;
  rest.set_token(first_token);
  rest.set_full(true);
  rest.set_revision(5);
  node.spread.OnDelta(TimePoint{} + seconds(20), PeerId(1), rest, node.actions);
  REQUIRE(node.spread.store().revision() == 0);
  REQUIRE(node.LastRequest()->control.config_request().token() != first_token);
}

TEST_CASE("random faults: nothing goes back, all reach the last change") {
  // Cuts, restarts, outages, changes, deletions, lost answers and hanging
  // peers at random. While they last no node may go back; after their end
  // every node must have the platform's state within 240 heartbeat rounds.
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Fleet fleet(seed);
    Rng rng(seed * 977);
    std::set<size_t> down;
    fleet.tamper = [&](size_t, pb::Control& control) {
      if (control.has_heartbeat()) return true;
      return UniformBelow(rng, 20) != 0;
    };
    for (int step = 0; step < 150; ++step) {
      fleet.RunFor(milliseconds(200 + UniformBelow(rng, 3000)));
      const size_t node = UniformBelow(rng, fleet.size());
      const std::string name = "p" + std::to_string(UniformBelow(rng, 30));
      switch (UniformBelow(rng, 10)) {
        case 0:
          if (down.size() < fleet.size() / 4 && down.insert(node).second) {
            fleet.Kill(node);
          }
          break;
        case 1:
          if (!down.empty()) {
            fleet.Start(*down.begin());
            down.erase(down.begin());
          }
          break;
        case 2: {
          std::set<size_t> side;
          for (size_t i = 0; i < fleet.size(); ++i) {
            if (UniformBelow(rng, 3) == 0) side.insert(i);
          }
          fleet.Cut(side);
          break;
        }
        case 3:
          fleet.Heal();
          break;
        case 4:
          fleet.Outage(UniformBelow(rng, 2) == 0);
          break;
        case 5:
          fleet.platform.Delete(name);
          fleet.Changed();
          break;
        case 6:
          fleet.platform.WriteOtherKinds(UniformBelow(rng, 500));
          break;
        default:
          fleet.Change(name);
      }
      REQUIRE(fleet.went_back() == 0);
    }
    fleet.tamper = nullptr;
    fleet.Heal();
    fleet.Outage(false);
    for (const size_t node : down) fleet.Start(node);
    fleet.RunFor(240 * milliseconds(500));
    REQUIRE(fleet.Settled());
    fleet.Change("last");
    fleet.RunFor(kInForceWithin);
    REQUIRE(fleet.Settled());
  }
}

}  // namespace knapweedstile::fleet
