#ifndef KNAPWEEDSTILE_GATEWAY_PEER_CLIENT_SETTINGS_H_
#define KNAPWEEDSTILE_GATEWAY_PEER_CLIENT_SETTINGS_H_

#include <chrono>

#include "http/client_settings.h"

namespace knapweedstile::gateway {

// Of clients that call other entries: they answer within milliseconds, and one
// that does not is cut off or gone.
inline http::ClientSettings PeerClientSettings() {
  constexpr std::chrono::milliseconds kConnectTimeout{300};
  constexpr std::chrono::milliseconds kSilence{2000};
  http::ClientSettings settings;
  settings.connect_timeout = kConnectTimeout;
  settings.silence_timeout = kSilence;
  settings.max_idle_per_address = 1;
  return settings;
}

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEER_CLIENT_SETTINGS_H_
