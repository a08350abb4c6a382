#include "message_reader.h"

#include "message_frame.h"

namespace knapweedstile::wire {

void MessageReader::Append(std::string_view bytes) {
  // Once for each chunk, not for each message: a chunk holds hundreds.
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  buffer_.append(bytes);
}

ReadStatus MessageReader::Next(std::string_view& payload) {
  if (size() < kLengthBytes) return ReadStatus::kNeedMore;
  if (too_large()) return ReadStatus::kTooLarge;
  const size_t length = DecodeLength(waiting());
  if (size() - kLengthBytes < length) return ReadStatus::kNeedMore;
  payload = waiting().substr(kLengthBytes, length);
  consumed_ += kLengthBytes + length;
  return ReadStatus::kMessage;
}

bool MessageReader::too_large() const noexcept {
  return size() >= kLengthBytes && DecodeLength(waiting()) > max_message_bytes_;
}

}  // namespace knapweedstile::wire
