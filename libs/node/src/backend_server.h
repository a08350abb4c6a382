#ifndef KNAPWEEDSTILE_NODE_BACKEND_SERVER_H_
#define KNAPWEEDSTILE_NODE_BACKEND_SERVER_H_

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_names.h"
#include "base/id.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::node {

// How an entry sees a backend server.
enum class BackendServerState {
  kDown,     // not connected, or its sidecar says that it does not answer
  kIn,       // takes work
  kLeaving,  // takes no new work
  kSilent,   // the connection went silent and is being replaced
};

struct BackendServer {
  BackendServerId id;
  std::string name;  // of its VM
  std::string address;
  std::string availability_zone;
  std::string target;
  BackendServerState state = BackendServerState::kDown;
  bool connected = false;
  bool healthy = false;
  bool leaving = false;  // said by its sidecar or by the VM list
  std::vector<std::string> pools;
  pb::Load load;
};

}  // namespace knapweedstile::node

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<node::BackendServerState> = {"down", "in", "leaving", "silent"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_NODE_BACKEND_SERVER_H_
