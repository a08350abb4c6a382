#ifndef KNAPWEEDSTILE_GATEWAY_ONLINE_LIMITS_H_
#define KNAPWEEDSTILE_GATEWAY_ONLINE_LIMITS_H_

#include <chrono>

namespace knapweedstile::gateway {

inline constexpr unsigned kServerError = 500;
inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

// For a request that a few servers did not execute: others may have free slots.
inline constexpr std::chrono::milliseconds kRetryAfterFailedAttempts{100};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_ONLINE_LIMITS_H_
