#ifndef KNAPWEEDSTILE_WIRE_MESSAGE_READER_H_
#define KNAPWEEDSTILE_WIRE_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::wire {

enum class ReadStatus {
  kMessage,   // `payload` holds one whole message
  kNeedMore,  // the next message is not complete yet
  kTooLarge,  // its length is over the bound; the reader stays in this state
};

// Splits the bytes of one direction of a stream into messages: four bytes of
// length, most significant first, then the payload.
//
// Failure guarded against: a length from a broken or hostile peer must not
// reserve memory. The bound is checked as soon as the four bytes are there,
// before anything of the payload is kept.
class MessageReader {
 public:
  explicit MessageReader(size_t max_message_bytes) noexcept
      : max_message_bytes_(max_message_bytes) {}

  void Append(std::string_view bytes);

  // Takes the next message; `payload` is valid until the next Append.
  ReadStatus Next(std::string_view& payload);

  // The next message is over the bound.
  bool too_large() const noexcept;
  // No part of a message is waiting for its rest.
  bool empty() const noexcept { return size() == 0; }
  // Bytes that wait for the rest of their message.
  size_t size() const noexcept { return buffer_.size() - consumed_; }

 private:
  std::string_view waiting() const noexcept {
    return {buffer_.data() + consumed_, size()};
  }

  size_t max_message_bytes_;
  std::string buffer_;
  size_t consumed_ = 0;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_MESSAGE_READER_H_
