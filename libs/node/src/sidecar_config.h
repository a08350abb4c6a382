#ifndef KNAPWEEDSTILE_NODE_SIDECAR_CONFIG_H_
#define KNAPWEEDSTILE_NODE_SIDECAR_CONFIG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "decide/sharing_policy.h"
#include "fleet/config_spread.h"
#include "fleet/spread_action.h"
#include "knapweedstile.pb.h"
#include "node/sidecar_node_settings.h"
#include "objects/catalog.h"
#include "policy_view.h"
#include "wire/transport_command.h"
#include "wire/transport_event.h"

namespace knapweedstile::node {

// What a sidecar learns from its entries: the configuration, and from it the
// serving policy in force here; and quarantined fingerprints, which it passes
// on between the entries, since they know each other only through the sidecars
// that they share.
class SidecarConfig {
 public:
  using WireSink = std::function<void(wire::TransportCommand&&)>;

  SidecarConfig(const SidecarNodeSettings& settings, uint64_t seed,
                TimePoint now, WireSink send);

  // Commands.
  void OnPeerUp(TimePoint now, const wire::PeerUpEvent& event);
  void OnPeerDown(TimePoint now, const wire::PeerDownEvent& event);
  void OnControl(TimePoint now, const wire::ControlEvent& event);
  void OnTick(TimePoint now);
  // True once after the policy in force has changed.
  bool TakePolicyChange();
  // True once after anything has changed that heartbeats announce.
  bool TakeAnnouncement();

  // Queries.
  const decide::SharingPolicy& policy() const noexcept { return policy_; }
  uint64_t revision() const noexcept { return spread_.store().revision(); }
  uint64_t digest() const noexcept { return spread_.store().digest(); }
  // Fills in what heartbeats announce.
  void Announce(TimePoint now, pb::Heartbeat& heartbeat) const;
  TimePoint NextWake(TimePoint now) const { return spread_.NextWake(now); }

 private:
  void Perform();
  void Adopt(const fleet::AdoptedAction& action);

  const SidecarNodeSettings& settings_;
  WireSink send_;
  objects::Catalog catalog_;
  PolicyView policies_;
  fleet::ConfigSpread spread_;
  std::vector<fleet::SpreadAction> actions_;
  decide::SharingPolicy policy_;
  std::unordered_map<uint64_t, TimePoint> quarantine_;
  bool policy_changed_ = false;
  bool announce_ = false;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_SIDECAR_CONFIG_H_
