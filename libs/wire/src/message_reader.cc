#include "message_reader.h"

#include "message_frame.h"

namespace knapweedstile::wire {

ReadStatus MessageReader::Next(std::string_view& payload) {
  DropConsumed();
  if (buffer_.size() < kLengthBytes) return ReadStatus::kNeedMore;
  if (too_large()) return ReadStatus::kTooLarge;
  const size_t length = DecodeLength(buffer_);
  if (buffer_.size() - kLengthBytes < length) return ReadStatus::kNeedMore;
  payload = {buffer_.data() + kLengthBytes, length};
  consumed_ = kLengthBytes + length;
  return ReadStatus::kMessage;
}

bool MessageReader::too_large() const noexcept {
  const std::string_view waiting{buffer_.data() + consumed_,
                                 buffer_.size() - consumed_};
  return waiting.size() >= kLengthBytes &&
         DecodeLength(waiting) > max_message_bytes_;
}

void MessageReader::DropConsumed() {
  if (consumed_ == 0) return;
  buffer_.erase(0, consumed_);
  consumed_ = 0;
}

}  // namespace knapweedstile::wire
