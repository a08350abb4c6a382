#ifndef KNAPWEEDSTILE_NODE_WIRE_SETTINGS_H_
#define KNAPWEEDSTILE_NODE_WIRE_SETTINGS_H_

#include <cstdint>

#include "knapweedstile.pb.h"
#include "node/node_settings.h"
#include "wire/transport_settings.h"

namespace knapweedstile::node {

// The transport's settings and Hello of a process, whatever its role.
inline wire::TransportSettings WireSettingsOf(const NodeSettings& node,
                                              pb::Role role,
                                              uint64_t incarnation) {
  wire::TransportSettings wire;
  wire.hello.set_node(node.name);
  wire.hello.set_role(role);
  wire.hello.set_availability_zone(node.availability_zone);
  wire.hello.set_incarnation(incarnation);
  wire.heartbeat_period = node.heartbeat_period;
  wire.silence_limit = node.silence_limit;
  return wire;
}

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_WIRE_SETTINGS_H_
