#ifndef KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_
#define KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "serving/stream_event.h"

namespace knapweedstile::serving {

// Cuts a server-sent event stream into whole events.
//
// Failure guarded against: a backend server that breaks off in the middle of an
// event. Only whole events are given out, so what a caller has received always
// ends at an event's end and the stream can go on from there elsewhere.
class EventStreamReader {
 public:
  void Append(std::string_view bytes) { buffer_.append(bytes); }
  // The next whole event, if there is one. Its views stay valid until the next
  // call of any other member.
  std::optional<StreamEvent> Next();
  // Whether bytes of an event that is not whole are left.
  bool HasPartial() const noexcept { return offset_ < buffer_.size(); }
  void Reset();

 private:
  // Length of the event at `offset_` with its empty line; zero: not whole.
  size_t CompleteEventLength() const;

  std::string buffer_;
  size_t offset_ = 0;  // bytes before it were given out
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_EVENT_STREAM_READER_H_
