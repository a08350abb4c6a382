#ifndef KNAPWEEDSTILE_NODE_ENTRY_PORTS_H_
#define KNAPWEEDSTILE_NODE_ENTRY_PORTS_H_

#include <functional>

#include "http/server_command.h"
#include "platform/store_request.h"
#include "wire/transport_command.h"

namespace knapweedstile::node {

// Commands from an entry's decision thread to the threads of its other duties.
struct EntryPorts {
  std::function<void(http::ServerCommand&&)> callers;
  std::function<void(http::ServerCommand&&)> admin;
  std::function<void(wire::TransportCommand&&)> wire;
  std::function<void(platform::StoreRequest&&)> platform;
  // Stops listening for callers; what is in flight goes on.
  std::function<void()> stop_accepting;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ENTRY_PORTS_H_
