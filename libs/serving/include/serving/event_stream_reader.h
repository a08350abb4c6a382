#ifndef KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_
#define KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "serving/stream_event.h"

namespace knapweedstile::serving {

// Splits a server-sent event stream into complete events.
//
// Guards against a backend server that disconnects in the middle of an event.
// Only complete events are returned, so what a caller has received always ends
// at an event boundary, and the stream can resume there on another server.
//
// Guards against a server that sends bytes that are no events, or bytes without
// end that bring no event: the stream is then malformed. Each byte is scanned
// once.
//
// Bytes that bring no event, such as comments, and events without an id in a
// stream that has ids, are returned with the next event: only then are they
// known to be part of a proper stream.
class EventStreamReader {
 public:
  // Maximum size of one event, and of the bytes without one before it.
  static constexpr size_t kMaxEventBytes = 512 << 10;

  void Append(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete event, if there is one. Its views are valid until the
  // next call of a non-const member function.
  std::optional<StreamEvent> Next();
  // Whether bytes of an incomplete event remain. Meaningful after Next() has
  // returned nullopt, as are the following.
  bool HasIncompleteEvent() const noexcept { return block_ < buffer_.size(); }
  // Whether the next bytes are no event. Next() returns no further one.
  bool IsMalformed() const noexcept { return malformed_; }
  // The bytes without an event that have arrived after the last event.
  std::string_view Rest() const {
    const std::string_view text = buffer_;
    return text.substr(offset_, block_ - offset_);
  }
  void Reset() { *this = EventStreamReader(); }

 private:
  // Length of the lines at `block_`, including the empty line that ends them;
  // zero if they are incomplete or malformed.
  size_t ScanBlock();
  bool AcceptLine(std::string_view line);
  void CheckIncompleteLine();

  std::string buffer_;
  size_t offset_ = 0;   // start of the bytes not yet returned
  size_t block_ = 0;    // the bytes before it are whole blocks without an event
  size_t line_ = 0;     // start of the first line not yet checked
  size_t scanned_ = 0;  // that line does not end before here
  // Of the block that is being scanned.
  bool has_lines_ = false;
  bool has_known_field_ = false;
  bool numbered_ = false;  // an event has had an id
  bool malformed_ = false;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_
