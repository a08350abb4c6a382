#ifndef KNAPWEEDSTILE_HTTP_CLIENT_SETTINGS_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace knapweedstile::http {

struct ClientSettings {
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds idle_timeout{20000};
  // A connection whose peer acknowledges nothing for about this long is closed;
  // zero leaves it to the kernel, which takes minutes. Guards against peers
  // that become unreachable without a reset: nothing else detects them.
  std::chrono::milliseconds unacknowledged_timeout{0};
  uint32_t max_idle_per_address = 64;
  // Beyond it, idle connections are closed for new ones. Does not limit
  // exchanges.
  uint32_t max_connections = 10000;
  // Maximum body of a response that is delivered whole.
  uint64_t max_response_bytes = 64 << 20;
  // Maximum body of a response that is delivered in parts.
  uint64_t max_stream_bytes = 64 << 20;
  // Maximum body of a response with a status other than 2xx, whole or in parts,
  // which are usually kept until its end.
  uint64_t max_error_bytes = 64 << 20;
  // Maximum bytes of incomplete bodies buffered over all connections. Beyond
  // it, the largest is given up.
  uint64_t max_buffered_bytes = 64 << 20;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_SETTINGS_H_
