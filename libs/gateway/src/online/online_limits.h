#ifndef KNAPWEEDSTILE_GATEWAY_ONLINE_LIMITS_H_
#define KNAPWEEDSTILE_GATEWAY_ONLINE_LIMITS_H_

#include <chrono>
#include <string_view>

namespace knapweedstile::gateway {

inline constexpr unsigned kServerError = 500;
inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

// Why an attempt is over when its server's process has been replaced.
inline constexpr std::string_view kServerRestarted = "server_restarted";

// After a few servers that did not run a request: others may have room at once.
inline constexpr std::chrono::milliseconds kRetryAfterFailedAttempts{100};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ONLINE_LIMITS_H_
