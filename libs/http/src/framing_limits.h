#ifndef KNAPWEEDSTILE_HTTP_FRAMING_LIMITS_H_
#define KNAPWEEDSTILE_HTTP_FRAMING_LIMITS_H_

#include <cstdint>

namespace knapweedstile::http {

// Received bytes that are not of a body, per byte of one and in addition. A
// chunk of one byte takes five more.
inline constexpr uint64_t kMaxFramingPerBodyByte = 8;
inline constexpr uint64_t kMaxFramingBytes = 512 << 10;

// Whether the bytes between those of the body (lines of chunks, their
// extensions, trailers) are too many for a message of its size.
constexpr bool IsFramingExcessive(uint64_t received_bytes,
                                  uint64_t body_bytes) noexcept {
  return received_bytes - body_bytes >
         kMaxFramingBytes + kMaxFramingPerBodyByte * body_bytes;
}

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_FRAMING_LIMITS_H_
