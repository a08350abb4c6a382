#ifndef KNAPWEEDSTILE_WIRE_MESSAGE_FRAME_H_
#define KNAPWEEDSTILE_WIRE_MESSAGE_FRAME_H_

#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::wire {

// Bytes of the length before each message.
inline constexpr size_t kLengthBytes = 4;

// The length at the front of `bytes`, which holds at least kLengthBytes.
inline uint32_t DecodeLength(std::string_view bytes) noexcept {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | static_cast<uint8_t>(bytes[i]);
  }
  return length;
}

// `message` with its length before it, as it travels on a stream.
inline std::string EncodeMessage(const google::protobuf::MessageLite& message) {
  const size_t length = message.ByteSizeLong();
  std::string bytes(kLengthBytes, '\0');
  bytes.reserve(kLengthBytes + length);
  for (size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>(length >> (8 * (kLengthBytes - 1 - i)));
  }
  message.AppendToString(&bytes);
  return bytes;
}

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_MESSAGE_FRAME_H_
