#ifndef KNAPWEEDSTILE_FLEET_TESTS_SPREAD_SIMULATION_H_
#define KNAPWEEDSTILE_FLEET_TESTS_SPREAD_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/hash.h"
#include "base/rng.h"
#include "fake_platform.h"
#include "fleet/config_spread.h"

namespace knapweedstile::fleet {

struct SimulationShape {
  size_t zones = 3;
  size_t entries_per_zone = 8;
  size_t sidecars = 12;
  size_t entries_per_sidecar = 2;
  Duration heartbeat = std::chrono::milliseconds(500);
  Duration latency = std::chrono::milliseconds(2);
  Duration silence = std::chrono::seconds(2);
  bool count_bytes = false;
};

// Bytes and messages of one node, both directions.
struct SimulationTraffic {
  uint64_t heartbeats = 0;
  uint64_t heartbeat_bytes = 0;
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

// Nodes with a ConfigSpread each, driven in simulated time: connections,
// heartbeats, the platform and their faults. Checks inside that no node ever
// goes back.
class SpreadSimulation {
 public:
  SpreadSimulation(const SimulationShape& shape, const SpreadSettings& settings,
                   uint64_t seed)
      : shape_(shape), settings_(settings), rng_(seed) {
    const size_t entries = shape.zones * shape.entries_per_zone;
    for (size_t i = 0; i < entries + shape.sidecars; ++i) {
      Node& node = nodes_.emplace_back();
      node.entry = i < entries;
      node.name = (node.entry ? "entry-" : "sidecar-") + std::to_string(i);
      node.zone = "zone-" + std::to_string(i % shape.zones);
      if (node.entry) view_.push_back({node.name, node.zone});
      by_name_[node.name] = i;
    }
    for (size_t i = 0; i < nodes_.size(); ++i) Start(i);
  }

  // Faults and changes, at the present time.
  void Start(size_t i) {
    Node& node = nodes_[i];
    node.up = true;
    ++node.life;
    node.seen.clear();
    node.revision = 0;
    node.ready_at = kNever;
    node.watch.reset();
    node.spread = std::make_unique<ConfigSpread>(
        settings_, SpreadSelf{node.name, node.zone, node.entry}, rng_(), now_);
    if (node.entry) {
      Run(i, [&](auto& actions) { node.spread->OnView(now_, view_, actions); });
    } else {
      WantEntriesOf(i);
    }
    const auto phase = static_cast<Duration::rep>(
        UniformBelow(rng_, static_cast<uint64_t>(shape_.heartbeat.count())));
    At(Duration(phase), [this, i, life = node.life] { Beat(i, life); });
  }
  void Kill(size_t i) {
    nodes_[i].up = false;
    CloseLinks(i, shape_.latency);
  }
  // Nothing passes between nodes on different sides.
  void Cut(const std::set<size_t>& side) {
    side_ = side;
    std::vector<uint64_t> cut;
    for (const auto& [id, link] : links_) {
      if (Separated(link.from, link.to)) cut.push_back(id);
    }
    for (const uint64_t id : cut) Close(id, shape_.silence);
  }
  void Heal() { side_.clear(); }
  void Outage(bool out) {
    platform.out = out;
    if (!out) return;
    for (size_t i = 0; i < nodes_.size(); ++i) AnswerWatch(i);
  }
  // To be called after changing `platform`.
  void Changed() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      if (!node.up || !node.watch) continue;
      if (!platform.Answer(*node.watch).objects.empty()) AnswerWatch(i);
    }
  }

  void RunFor(Duration time) {
    const TimePoint until = now_ + time;
    while (!events_.empty() && events_.top().at <= until) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = until;
  }

  // Every node that is up has exactly the platform's configuration. A sidecar
  // that no entry reaches serves nobody and is not counted.
  bool Settled() const {
    const uint64_t digest = platform.digest();
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
      if (!node.up || (!node.entry && node.links.empty())) return true;
      return node.spread->store().digest() == digest && node.spread->ready();
    });
  }
  // A node believes to know all up to `revision`, and has something else.
  bool Damaged(uint64_t revision) const {
    const uint64_t digest = platform.digest();
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
      const ConfigStore& store = node.spread->store();
      return store.revision() == revision && store.digest() != digest;
    });
  }
  // How many nodes have `digest` now.
  size_t CountWith(uint64_t digest) const {
    return static_cast<size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
          return node.up && node.spread->store().digest() == digest;
        }));
  }
  size_t CountRelays() const {
    return static_cast<size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [](const Node& node) { return node.up && node.spread->relay(); }));
  }
  size_t entries() const { return view_.size(); }
  size_t size() const { return nodes_.size(); }
  bool up(size_t i) const { return nodes_[i].up; }
  const ConfigSpread& spread(size_t i) const { return *nodes_[i].spread; }
  const std::string& zone(size_t i) const { return nodes_[i].zone; }
  const SimulationTraffic& traffic(size_t i) const { return nodes_[i].traffic; }
  size_t links(size_t i) const { return nodes_[i].links.size(); }
  TimePoint now() const { return now_; }
  uint64_t platform_calls() const { return platform_calls_; }
  uint64_t went_back() const { return went_back_; }

  FakePlatform platform;
  // Fault: nodes of these zones do not reach the platform.
  std::set<std::string> zones_without_platform;
  // Fault: changes an answer on its way; false drops it.
  std::function<bool(size_t from, pb::Control&)> tamper;

 private:
  struct Node {
    std::string name;
    std::string zone;
    bool entry = false;
    bool up = false;
    uint64_t life = 0;
    std::unique_ptr<ConfigSpread> spread;
    std::set<uint64_t> links;
    std::set<size_t> wanted;
    std::map<std::string, uint64_t> seen;  // version by object
    uint64_t revision = 0;
    TimePoint ready_at = kNever;
    std::optional<uint64_t> watch;  // waiting, after this version
    uint64_t watch_number = 0;
    SimulationTraffic traffic;
  };
  struct Link {
    size_t from;
    size_t to;
  };
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void At(Duration in, std::function<void()> run) {
    events_.push({now_ + in, ++order_, std::move(run)});
  }

  template <typename Command>
  void Run(size_t i, Command command) {
    std::vector<SpreadAction> actions;
    command(actions);
    Check(i, actions);
    for (SpreadAction& action : actions) {
      std::visit([&](auto& a) { Do(i, a); }, action);
    }
  }

  // The invariant: within one life nothing goes back on any node.
  void Check(size_t i, const std::vector<SpreadAction>& actions) {
    Node& node = nodes_[i];
    const uint64_t revision = node.spread->store().revision();
    if (revision < node.revision) ++went_back_;
    node.revision = revision;
    for (const SpreadAction& action : actions) {
      const auto* adopted = std::get_if<AdoptedAction>(&action);
      if (adopted == nullptr) continue;
      for (const auto& object : adopted->objects) {
        uint64_t& seen = node.seen[object.name];
        if (object.version <= seen) ++went_back_;
        seen = object.version;
      }
    }
  }

  void Do(size_t i, SendConfigAction& action) {
    Send(i, action.peer, std::move(action.control));
  }
  void Do(size_t i, const WatchAction& action) {
    ++platform_calls_;
    Node& node = nodes_[i];
    node.watch = action.after;
    const uint64_t number = ++node.watch_number;
    const bool at_once = PlatformOut(i) || action.wait_until <= now_ ||
                         !platform.Answer(action.after).objects.empty();
    const Duration wait = at_once ? shape_.latency : action.wait_until - now_;
    At(wait, [this, i, life = node.life, number] {
      const Node& n = nodes_[i];
      if (n.life == life && n.watch && n.watch_number == number) AnswerWatch(i);
    });
  }
  void Do(size_t, const AdoptedAction&) {}
  void Do(size_t i, const NeighboursAction& action) {
    std::set<size_t> wanted;
    for (const std::string& name : action.names) wanted.insert(by_name_[name]);
    Want(i, std::move(wanted));
  }
  void Do(size_t i, const ReadyAction&) { nodes_[i].ready_at = now_; }

  void AnswerWatch(size_t i) {
    Node& node = nodes_[i];
    if (!node.up || !node.watch) return;
    WatchAnswer answer;
    if (!PlatformOut(i)) answer = platform.Answer(*node.watch);
    node.watch.reset();
    At(shape_.latency, [this, i, life = node.life, answer]() mutable {
      if (nodes_[i].life != life || !nodes_[i].up) return;
      Run(i, [&](auto& actions) {
        nodes_[i].spread->OnWatchAnswer(now_, std::move(answer), actions);
      });
    });
  }

  bool PlatformOut(size_t i) const {
    return platform.out || zones_without_platform.contains(nodes_[i].zone);
  }

  // Sidecars are connected to by a fixed few entries.
  void WantEntriesOf(size_t sidecar) {
    for (size_t k = 0; k < shape_.entries_per_sidecar; ++k) {
      const uint64_t hash = Hash64(nodes_[sidecar].name, k);
      nodes_[sidecar].wanted.insert(hash % view_.size());
    }
    for (const size_t entry : nodes_[sidecar].wanted) Connect(sidecar, entry);
  }

  void Want(size_t i, std::set<size_t> wanted) {
    Node& node = nodes_[i];
    std::vector<uint64_t> dropped;
    for (const uint64_t id : node.links) {
      const Link& link = links_.at(id);
      if (link.from == i && !wanted.contains(link.to)) dropped.push_back(id);
    }
    node.wanted = std::move(wanted);
    for (const uint64_t id : dropped) Close(id, shape_.latency);
    for (const size_t to : node.wanted) Connect(i, to);
  }

  bool Separated(size_t a, size_t b) const {
    return side_.contains(a) != side_.contains(b);
  }
  bool Linked(size_t from, size_t to) const {
    const auto& links = nodes_[from].links;
    return std::any_of(links.begin(), links.end(), [&](uint64_t id) {
      const Link& link = links_.at(id);
      return link.from == from && link.to == to;
    });
  }

  void Connect(size_t from, size_t to) {
    At(shape_.latency, [this, from, to, life = nodes_[from].life] {
      const Node& node = nodes_[from];
      if (!node.up || node.life != life || !node.wanted.contains(to)) return;
      if (Linked(from, to)) return;
      if (!nodes_[to].up || Separated(from, to)) {
        const Duration pause = std::chrono::seconds(1);
        At(pause, [this, from, to, life] {
          if (nodes_[from].life == life) Connect(from, to);
        });
        return;
      }
      Open(from, to);
    });
  }

  static PeerId PeerOf(uint64_t link, bool opener) {
    return PeerId(2 * link + (opener ? 1 : 0));
  }

  void Open(size_t from, size_t to) {
    const uint64_t id = ++last_link_;
    links_[id] = {from, to};
    nodes_[from].links.insert(id);
    nodes_[to].links.insert(id);
    for (const bool opener : {true, false}) {
      const size_t here = opener ? from : to;
      const Node& other = nodes_[opener ? to : from];
      pb::Hello hello;
      hello.set_node(other.name);
      hello.set_role(other.entry ? pb::ROLE_ENTRY : pb::ROLE_SIDECAR);
      Run(here, [&](auto& actions) {
        nodes_[here].spread->OnPeerUp(now_, PeerOf(id, opener), hello, actions);
      });
    }
  }

  void CloseLinks(size_t i, Duration after) {
    const std::set<uint64_t> links = nodes_[i].links;
    for (const uint64_t id : links) Close(id, after);
  }

  // The ends notice after `after`; nothing passes from now on.
  void Close(uint64_t id, Duration after) {
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    const Link link = found->second;
    links_.erase(found);
    for (const bool opener : {true, false}) {
      const size_t here = opener ? link.from : link.to;
      nodes_[here].links.erase(id);
      At(after, [this, id, here, opener, life = nodes_[here].life] {
        Node& node = nodes_[here];
        if (!node.up || node.life != life) return;
        Run(here, [&](auto& actions) {
          node.spread->OnPeerDown(now_, PeerOf(id, opener), actions);
        });
      });
    }
    Connect(link.from, link.to);
  }

  void Send(size_t i, PeerId peer, pb::Control control) {
    const uint64_t id = peer.value() / 2;
    const auto found = links_.find(id);
    if (found == links_.end()) return;
    const bool opener = found->second.from == i && peer.value() % 2 == 1;
    const size_t to = opener ? found->second.to : found->second.from;
    if (tamper && !tamper(i, control)) return;
    Count(i, control);
    Count(to, control);
    At(shape_.latency, [this, id, opener, to, message = std::move(control)] {
      if (!links_.contains(id)) return;
      Receive(to, PeerOf(id, !opener), message);
    });
  }

  void Receive(size_t i, PeerId peer, const pb::Control& message) {
    Run(i, [&](auto& actions) {
      ConfigSpread& spread = *nodes_[i].spread;
      if (message.has_heartbeat()) {
        spread.OnHeartbeat(now_, peer, message.heartbeat(), actions);
      } else if (message.has_config_request()) {
        spread.OnRequest(peer, message.config_request(), actions);
      } else if (message.has_config_delta()) {
        spread.OnDelta(now_, peer, message.config_delta(), actions);
      }
    });
  }

  void Count(size_t i, const pb::Control& control) {
    if (!shape_.count_bytes) return;
    // Length prefix and frame header travel with each message.
    constexpr uint64_t kFraming = 4 + 9;
    const uint64_t bytes = control.ByteSizeLong() + kFraming;
    SimulationTraffic& traffic = nodes_[i].traffic;
    if (control.has_heartbeat()) {
      ++traffic.heartbeats;
      traffic.heartbeat_bytes += bytes;
    } else {
      ++traffic.messages;
      traffic.bytes += bytes;
    }
  }

  void Beat(size_t i, uint64_t life) {
    Node& node = nodes_[i];
    if (!node.up || node.life != life) return;
    Run(i, [&](auto& actions) { node.spread->OnTick(now_, actions); });
    pb::Control control;
    pb::Heartbeat& heartbeat = *control.mutable_heartbeat();
    node.spread->Announce(heartbeat);
    // As the transport fills them in.
    heartbeat.set_sequence(1000);
    heartbeat.set_echo_sequence(1000);
    heartbeat.set_wall_clock_nanos(1'700'000'000'000'000'000);
    heartbeat.set_echo_hold_nanos(100'000'000);
    const std::set<uint64_t> links = node.links;
    for (const uint64_t id : links) {
      Send(i, PeerOf(id, links_.at(id).from == i), control);
    }
    At(shape_.heartbeat, [this, i, life] { Beat(i, life); });
  }

  const SimulationShape shape_;
  const SpreadSettings settings_;
  Rng rng_;
  TimePoint now_{};
  std::vector<Node> nodes_;
  std::vector<EntryView> view_;
  std::unordered_map<std::string, size_t> by_name_;
  std::unordered_map<uint64_t, Link> links_;
  std::set<size_t> side_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  uint64_t last_link_ = 0;
  uint64_t platform_calls_ = 0;
  uint64_t went_back_ = 0;
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_TESTS_SPREAD_SIMULATION_H_
