#ifndef KNAPWEEDSTILE_WIRE_OUTGOING_BYTES_H_
#define KNAPWEEDSTILE_WIRE_OUTGOING_BYTES_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

namespace knapweedstile::wire {

// Messages of one stream that nghttp2 has not asked for yet.
class OutgoingBytes {
 public:
  void Push(std::string message) {
    size_ += message.size();
    messages_.push_back(std::move(message));
  }

  // Moves up to `capacity` bytes to `target`; how many.
  size_t Take(uint8_t* target, size_t capacity) {
    size_t taken = 0;
    while (taken < capacity && !messages_.empty()) {
      const std::string& front = messages_.front();
      const size_t part = std::min(capacity - taken, front.size() - offset_);
      std::copy_n(front.data() + offset_, part, target + taken);
      taken += part;
      offset_ += part;
      if (offset_ == front.size()) {
        messages_.pop_front();
        offset_ = 0;
      }
    }
    size_ -= taken;
    return taken;
  }

  size_t size() const noexcept { return size_; }
  bool empty() const noexcept { return size_ == 0; }

 private:
  std::deque<std::string> messages_;
  size_t offset_ = 0;  // of the front message, taken already
  size_t size_ = 0;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_OUTGOING_BYTES_H_
