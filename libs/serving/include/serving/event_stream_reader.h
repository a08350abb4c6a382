#ifndef KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_
#define KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_

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
class EventStreamReader {
 public:
  void Append(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete event, if there is one. Its views are valid until the
  // next call of a non-const member function.
  std::optional<StreamEvent> Next();
  // Whether bytes of an incomplete event remain. Meaningful after Next() has
  // returned nullopt.
  bool HasIncompleteEvent() const noexcept { return offset_ < buffer_.size(); }
  void Reset();

 private:
  // Length of the event at `offset_`, including the empty line that ends it;
  // zero if it is incomplete.
  size_t CompleteEventLength() const;

  std::string buffer_;
  size_t offset_ = 0;  // start of the bytes not yet returned
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_
