#ifndef KNAPWEEDSTILE_GATEWAY_UPSTREAM_SETTINGS_H_
#define KNAPWEEDSTILE_GATEWAY_UPSTREAM_SETTINGS_H_

#include "http/client_settings.h"

namespace knapweedstile::gateway {

// Connections to backend servers.
inline http::ClientSettings UpstreamClientSettings() {
  http::ClientSettings settings;
  // A round trip between availability zones is 3 ms; a server that has not
  // taken a connection in a hundred times that is down or cut off.
  settings.connect_timeout = std::chrono::milliseconds(300);
  // Longer than the valleys of the usual traffic (3.6 s), after which each peak
  // would open its connections anew: a quarter fewer than with 2 s, and no more
  // requests lost. Backend servers that announce a time get half of it.
  settings.idle_timeout = std::chrono::milliseconds(8000);
  settings.silence_timeout = std::chrono::milliseconds(3000);
  settings.max_idle_per_address = 8;
  return settings;
}

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_UPSTREAM_SETTINGS_H_
