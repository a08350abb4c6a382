#ifndef KNAPWEEDSTILE_WIRE_SESSION_LISTENER_H_
#define KNAPWEEDSTILE_WIRE_SESSION_LISTENER_H_

#include "base/id.h"
#include "wire/transport_event.h"

namespace knapweedstile::wire {

// What an Http2Session tells its connection.
class SessionListener {
 public:
  virtual ~SessionListener() = default;

  // Id for a stream that the other end opened.
  virtual StreamId NewStreamId() = 0;
  // False: the message has no place here, the protocol is broken.
  virtual bool OnControl(pb::Control&& control) = 0;
  virtual bool OnStreamOpened(StreamId stream, pb::RunRequest&& request) = 0;
  virtual void OnStreamEvent(StreamId stream, pb::RunEvent&& event,
                             bool last) = 0;
  virtual void OnStreamClosed(StreamId stream, StreamLoss loss) = 0;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_SESSION_LISTENER_H_
