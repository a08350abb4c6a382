#ifndef KNAPWEEDSTILE_GATEWAY_PEER_CLIENT_SETTINGS_H_
#define KNAPWEEDSTILE_GATEWAY_PEER_CLIENT_SETTINGS_H_

#include <chrono>

#include "http/client_settings.h"

namespace knapweedstile::gateway {

// Settings for HTTP clients that call peers. A peer responds within
// milliseconds; one that does not is partitioned or terminated.
inline http::ClientSettings PeerClientSettings() {
  constexpr std::chrono::milliseconds kConnectTimeout{300};
  constexpr std::chrono::milliseconds kSilenceTimeout{2000};
  http::ClientSettings settings;
  settings.connect_timeout = kConnectTimeout;
  settings.unacknowledged_timeout = kSilenceTimeout;
  settings.max_idle_per_address = 1;
  return settings;
}

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_PEER_CLIENT_SETTINGS_H_
