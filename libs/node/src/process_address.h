#ifndef KNAPWEEDSTILE_NODE_PROCESS_ADDRESS_H_
#define KNAPWEEDSTILE_NODE_PROCESS_ADDRESS_H_

#include <cstdint>
#include <string>

namespace knapweedstile::node {

// Exit codes of both roles; the command line adds its own (docs/settings.md).
inline constexpr int kExitListenFailed = 3;

// A listener's address with the port that was really bound.
inline std::string WithPort(const std::string& address, uint16_t port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_PROCESS_ADDRESS_H_
