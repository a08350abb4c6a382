#ifndef KNAPWEEDSTILE_HTTP_SERVER_SETTINGS_H_
#define KNAPWEEDSTILE_HTTP_SERVER_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace knapweedstile::http {

struct ServerSettings {
  // Id of the first exchange. Servers of one process need disjoint ranges to
  // distinguish their exchanges.
  uint64_t first_exchange = 1;
  // Beyond it, the connection of least use is closed for a new one. Those with
  // a request in progress stay, and further ones get 503.
  uint32_t max_connections = 10000;
  // Of a head; and of one chunk's line, or all trailers, of a chunked body.
  uint32_t max_header_bytes = 16 << 10;
  uint64_t max_body_bytes = 64 << 20;
  // Limits for reading the full header and then the full body. Partial data
  // does not extend them, which bounds slow senders and half-open connections.
  std::chrono::milliseconds header_timeout{10000};
  std::chrono::milliseconds body_timeout{60000};
  std::chrono::milliseconds idle_timeout{75000};
  // The connection of a caller that reads nothing of its response for this long
  // is closed.
  std::chrono::milliseconds write_timeout{30000};
  // Maximum unsent bytes of one streamed response; beyond it the connection is
  // closed.
  uint32_t max_unsent_bytes = 4 << 20;
  // Maximum memory of all connections, in bytes: what was received, the
  // requests that are executed (by estimate), and unsent responses. Beyond it,
  // the connections that have gone longest without progress, weighted by what
  // they hold, are closed; a request is rejected if others need all of it.
  uint64_t max_held_bytes = 512ULL << 20;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_SERVER_SETTINGS_H_
