#ifndef KNAPWEEDSTILE_FLEET_SPREAD_SETTINGS_H_
#define KNAPWEEDSTILE_FLEET_SPREAD_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace knapweedstile::fleet {

// How configuration spreads. The figures behind the defaults are in
// docs/design/fleet.md.
struct SpreadSettings {
  // Entries of each availability zone that watch the platform.
  uint32_t relays = 2;
  // Entries below one entry of the tree, counted by first parent; by both
  // parents it is twice as many.
  uint32_t branching = 8;
  // Relays of other availability zones that a relay connects to.
  uint32_t zone_links = 2;

  Duration watch_wait = std::chrono::seconds(25);
  // Between two watches of one relay: bounds its calls when changes are many.
  Duration watch_gap = std::chrono::seconds(1);
  // The same for a node that watches only because it reaches nobody.
  Duration isolated_watch_gap = std::chrono::seconds(5);
  Duration watch_retry_first = std::chrono::milliseconds(500);
  Duration watch_retry_most = std::chrono::seconds(10);
  // A node without any connection to another entry watches for itself.
  Duration isolated_after = std::chrono::seconds(6);

  // A request for configuration not answered by then goes to another peer.
  Duration pull_timeout = std::chrono::seconds(2);
  // A peer that did not answer is asked again only after this.
  Duration avoid_peer = std::chrono::seconds(10);
  // A neighbour that was not reached by then is replaced by another entry.
  Duration neighbour_timeout = std::chrono::seconds(3);
  Duration neighbour_retry = std::chrono::seconds(30);
  // Between two repairs after a digest that does not match.
  Duration repair_gap = std::chrono::seconds(10);
  size_t part_bytes = 256 << 10;

  // A node that starts asks peers first, so that a relay's restart does not
  // make the whole tree take the whole state.
  Duration list_after = std::chrono::seconds(1);
  // Ready peers whose highest revision a starting node takes before it serves;
  // after `start_wait` one is enough.
  uint32_t ready_peers = 3;
  Duration start_wait = std::chrono::seconds(5);
  // Neither platform nor peers: a node with a cached state serves it then.
  Duration alone_after = std::chrono::seconds(15);
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_SPREAD_SETTINGS_H_
