#ifndef KNAPWEEDSTILE_FLEET_SPREAD_ACTION_H_
#define KNAPWEEDSTILE_FLEET_SPREAD_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/time.h"
#include "knapweedstile.pb.h"
#include "platform/store_answer.h"

namespace knapweedstile::fleet {

// Send this to the peer on its control stream.
struct SendConfigAction {
  PeerId peer;
  pb::Control control;
};

// Watch the platform for changes of the configuration after `after`; answer
// with ConfigSpread::OnWatchAnswer.
struct WatchAction {
  uint64_t after = 0;
  TimePoint wait_until;
};

// These objects are in force from now on. Heartbeats are to carry the store's
// revision and digest.
struct AdoptedAction {
  std::vector<platform::StoredObject> objects;
};

// Connect to these entries, and to no others for the configuration's sake.
struct NeighboursAction {
  std::vector<std::string> names;
};

// The node may serve: its configuration came from a sound source.
struct ReadyAction {};

using SpreadAction = std::variant<SendConfigAction, WatchAction, AdoptedAction,
                                  NeighboursAction, ReadyAction>;

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_SPREAD_ACTION_H_
