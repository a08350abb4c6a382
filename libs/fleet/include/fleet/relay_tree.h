#ifndef KNAPWEEDSTILE_FLEET_RELAY_TREE_H_
#define KNAPWEEDSTILE_FLEET_RELAY_TREE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/entry_view.h"

namespace knapweedstile::fleet {

struct SpreadSettings;

// Who watches the platform and who connects to whom, from the view of one
// entry. The entries of an availability zone are ranked by rendezvous hash; the
// first ones are relays, and each other entry has two parents of lower rank, so
// that the depth grows with the logarithm of the zone's size and no entry has
// more than 2 * branching + 2 connections for configuration, besides those that
// relays of other zones make to the first entry of a zone.
//
// Two entries with different views build different trees. That costs
// connections and watches; what a connection carries does not depend on it.
class RelayTree {
 public:
  using Excluded = std::function<bool(const std::string& name)>;

  RelayTree(const SpreadSettings& settings, std::string self,
            std::string availability_zone);

  // Commands.
  void SetView(const std::vector<EntryView>& entries);

  // Queries; `excluded` entries count as absent, this one never does.
  bool IsRelay(const Excluded& excluded) const;
  // Entries to connect to: parents, and for a relay those of other zones.
  std::vector<std::string> Neighbours(const Excluded& excluded) const;
  // Others known, of all zones.
  size_t others() const noexcept { return others_; }
  // Some other entries, the same ones each time, over all zones.
  std::vector<std::string> Sample(size_t count) const;

 private:
  using Ranked = std::vector<std::string>;

  Ranked Zone(const Excluded& excluded) const;
  void AddParents(const Ranked& zone, size_t rank,
                  std::vector<std::string>& neighbours) const;
  void AddOtherZones(const Excluded& excluded,
                     std::vector<std::string>& neighbours) const;

  const SpreadSettings& settings_;
  const std::string self_;
  const std::string availability_zone_;
  std::map<std::string, Ranked> zones_;  // by availability zone
  size_t others_ = 0;
};

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_RELAY_TREE_H_
