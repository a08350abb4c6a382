#ifndef KNAPWEEDSTILE_FLEET_MEMBERSHIP_ACTION_H_
#define KNAPWEEDSTILE_FLEET_MEMBERSHIP_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "base/id.h"

namespace knapweedstile::fleet {

struct ConnectAction {
  PeerId peer;
  std::string address;
};

struct DisconnectAction {
  PeerId peer;
};

// The backend server takes work from now on.
struct ServerUpAction {
  BackendServerId server;
  std::string name;
  std::string target;
  std::string availability_zone;
};

// No new work; attempts in flight go on.
struct ServerLeavingAction {
  BackendServerId server;
};

// Cannot be reached, or is not healthy.
struct ServerDownAction {
  BackendServerId server;
};

using MembershipAction =
    std::variant<ConnectAction, DisconnectAction, ServerUpAction,
                 ServerLeavingAction, ServerDownAction>;

}  // namespace knapweedstile::fleet

#endif  // KNAPWEEDSTILE_FLEET_MEMBERSHIP_ACTION_H_
