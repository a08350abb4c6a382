#ifndef KNAPWEEDSTILE_GATEWAY_STORE_CONFIGURATION_SOURCE_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_CONFIGURATION_SOURCE_H_

#include <array>
#include <string_view>

#include "base/enum_names.h"

namespace knapweedstile::gateway {

// Where a gateway has a version of the configuration from.
enum class ConfigurationSource {
  kStore,   // read by itself
  kReader,  // forwarded by a reader of its cell
  kRelay,   // read by a peer on its behalf
  kPeer,    // fetched from a gateway that uses it
};

}  // namespace knapweedstile::gateway

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 4>
    kEnumNames<gateway::ConfigurationSource> = {"store", "reader", "relay",
                                                "peer"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_CONFIGURATION_SOURCE_H_
