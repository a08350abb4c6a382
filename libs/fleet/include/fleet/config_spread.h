#ifndef KNAPWEEDSTILE_FLEET_CONFIG_SPREAD_H_
#define KNAPWEEDSTILE_FLEET_CONFIG_SPREAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/time.h"
#include "fleet/config_store.h"
#include "fleet/entry_view.h"
#include "fleet/relay_tree.h"
#include "fleet/spread_action.h"
#include "fleet/spread_settings.h"
#include "fleet/watch_answer.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::fleet {

// Who this node is to the spread of configuration.
struct SpreadSelf {
  std::string name;
  std::string availability_zone;
  bool entry = true;  // false: a sidecar, which only takes from its entries
};

// Brings every accepted configuration to this node and lets others take it from
// here. A few relays of each availability zone watch the platform; heartbeats
// announce revision and digest; who sees a higher revision asks for the
// difference, from one peer at a time.
//
// Load pattern: one change a second for 13,200 nodes. Without the tree each
// node would watch, and each change would cost 13,200 calls of a platform that
// takes 2,000 a second.
//
// Failures guarded against, each with its guard:
// - the platform is out: nothing is dropped, the last good state stays in force
//   and peers give it to nodes that start;
// - a node starts in the outage and meets a peer that is behind: it serves only
//   after it has the highest revision among several ready peers;
// - a peer does not answer: its request times out and another peer is asked;
// - both relays of a zone are gone while the VM list still shows them: whoever
//   cannot reach its parents takes the next entries by rank, and becomes a
//   relay when none of lower rank is left; a node that reaches nobody watches;
// - a change was lost on its way by a fault of ours: the digest differs at the
//   same revision, and the node takes the whole state from a parent, a relay
//   from the platform.
//
// Events and the time go in, actions come out (appended). No network, clock,
// thread or log.
class ConfigSpread {
 public:
  ConfigSpread(const SpreadSettings& settings, SpreadSelf self, uint64_t seed,
               TimePoint now);

  // Commands.
  // Restores a cached state; call before any other.
  bool RestoreCache(std::string_view bytes);
  // Entries that the membership counts as in, this one or not.
  void OnView(TimePoint now, const std::vector<EntryView>& entries,
              std::vector<SpreadAction>& actions);
  void OnPeerUp(TimePoint now, PeerId peer, const pb::Hello& hello,
                std::vector<SpreadAction>& actions);
  void OnPeerDown(TimePoint now, PeerId peer,
                  std::vector<SpreadAction>& actions);
  void OnHeartbeat(TimePoint now, PeerId peer, const pb::Heartbeat& heartbeat,
                   std::vector<SpreadAction>& actions);
  void OnRequest(PeerId peer, const pb::ConfigRequest& request,
                 std::vector<SpreadAction>& actions) const;
  void OnDelta(TimePoint now, PeerId peer, const pb::ConfigDelta& delta,
               std::vector<SpreadAction>& actions);
  void OnWatchAnswer(TimePoint now, WatchAnswer&& answer,
                     std::vector<SpreadAction>& actions);
  void OnTick(TimePoint now, std::vector<SpreadAction>& actions);

  // Queries.
  const ConfigStore& store() const noexcept { return store_; }
  bool ready() const noexcept { return ready_; }
  // This node is one of its zone's relays, as far as it can see.
  bool relay() const noexcept { return relay_; }
  // Fills in what heartbeats announce.
  void Announce(pb::Heartbeat& heartbeat) const;
  TimePoint NextWake(TimePoint now) const;

 private:
  struct Peer {
    std::string name;
    bool entry = false;
    bool ready = false;
    uint64_t revision = 0;
    uint64_t digest = 0;
    TimePoint avoid_until{};
  };
  struct Neighbour {
    TimePoint wanted_since{};
    TimePoint excluded_until{};
  };
  // A request under way and what came of its answer so far.
  struct Pull {
    PeerId peer;
    uint64_t token = 0;
    TimePoint deadline;
    uint64_t since = 0;
    bool all = false;
    std::vector<platform::StoredObject> objects;
  };

  void Reconsider(TimePoint now, std::vector<SpreadAction>& actions);
  void UpdateNeighbours(TimePoint now, std::vector<SpreadAction>& actions);
  void ExcludeUnreached(TimePoint now);
  bool Connected(const std::string& name) const;
  void UpdateIsolation(TimePoint now);
  void MaybeWatch(TimePoint now, std::vector<SpreadAction>& actions);
  bool MayWatch(TimePoint now) const;
  void TakeWatched(WatchAnswer&& answer, std::vector<SpreadAction>& actions);
  void TakeListed(std::vector<platform::StoredObject> objects,
                  uint64_t revision, std::vector<SpreadAction>& actions);
  void MaybePull(TimePoint now, std::vector<SpreadAction>& actions);
  std::optional<PeerId> PeerAhead(TimePoint now);
  std::optional<PeerId> PeerForRepair(TimePoint now);
  bool Upstream(const Peer& peer) const;
  void StartPull(TimePoint now, PeerId peer, bool all,
                 std::vector<SpreadAction>& actions);
  void AbandonPull(TimePoint now);
  void FinishPull(TimePoint now, uint64_t revision,
                  std::vector<SpreadAction>& actions);
  void Report(std::vector<platform::StoredObject> adopted,
              std::vector<SpreadAction>& actions);
  void UpdateReady(TimePoint now, std::vector<SpreadAction>& actions);
  bool ReadyByPeers(TimePoint now) const;
  Duration RetryWait();

  const SpreadSettings settings_;
  const SpreadSelf self_;
  const TimePoint started_;
  Rng rng_;
  ConfigStore store_;
  RelayTree tree_;
  std::unordered_map<PeerId, Peer> peers_;
  std::map<std::string, Neighbour> neighbours_;  // wanted or excluded
  std::vector<std::string> wanted_;
  std::vector<std::string> sample_;  // asked as well until ready
  std::optional<Pull> pull_;
  uint64_t last_token_ = 0;
  TimePoint next_repair_{};
  TimePoint reached_last_;  // an entry was connected
  bool view_known_ = false;
  bool relay_ = false;
  bool isolated_ = false;
  bool ready_ = false;
  bool cached_ = false;
  // Of the platform.
  bool watching_ = false;
  bool relist_ = false;  // take the whole state from the platform next
  bool platform_answered_ = false;
  uint64_t position_ = 0;  // watched up to here
  uint64_t watch_since_ = 0;
  std::vector<platform::StoredObject> watched_;  // of answers with more
  uint32_t watch_failures_ = 0;
  TimePoint next_watch_{};
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_CONFIG_SPREAD_H_
