#ifndef KNAPWEEDSTILE_HTTP_CLIENT_SETTINGS_H_
#define KNAPWEEDSTILE_HTTP_CLIENT_SETTINGS_H_

#include <chrono>
#include <cstdint>

namespace knapweedstile::http {

struct ClientSettings {
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds idle_timeout{20000};
  uint32_t max_idle_per_address = 64;
  uint64_t max_response_bytes = 64 << 20;
};

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_CLIENT_SETTINGS_H_
