#ifndef KNAPWEEDSTILE_WIRE_HTTP2_SESSION_H_
#define KNAPWEEDSTILE_WIRE_HTTP2_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/id.h"
#include "message_reader.h"
#include "outgoing_bytes.h"
#include "session_listener.h"
#include "wire/transport_counters.h"
#include "wire/transport_settings.h"

struct nghttp2_session;

namespace knapweedstile::wire {

enum class SessionSide { kOpening, kAccepting };

// The HTTP/2 side of one connection without its socket: bytes in, messages and
// bytes out. One control stream, opened by the connecting end at once, and one
// stream for each request.
class Http2Session {
 public:
  Http2Session(SessionSide side, const TransportSettings& settings,
               SessionListener& listener, TransportCounters& counters);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // False: the other end broke the protocol and the connection is to be closed.
  bool Receive(std::string_view bytes);
  // Appends what is to be written now, until `out` holds about `limit` bytes.
  // After this call the appended bytes count as handed to the socket.
  bool TakeOutput(std::string& out, size_t limit);

  // False: nothing was sent and the stream does not exist.
  bool OpenStream(StreamId id, const pb::RunRequest& request);
  void SendEvent(StreamId id, const pb::RunEvent& event, bool last);
  // Forgets the stream; the listener hears no more of it.
  void CancelStream(StreamId id);
  // False: not queued, since too much is waiting or no control stream is open.
  bool SendControl(const pb::Control& control);
  // Tells the listener that every stream is lost, since the connection is.
  void Abandon();

  // Goes on with stream number `next`, which is odd: for tests of the last
  // ones.
  void SkipStreamNumbers(int32_t next);

  // No stream can be opened any more and none is open: an HTTP/2 connection has
  // 2^30 of them, twelve days at a thousand requests a second, and the other
  // end may send GOAWAY.
  bool worn_out() const noexcept;
  // Control messages wait that nghttp2 has not taken for writing yet.
  bool control_blocked() const;
  bool accepting() const noexcept { return side_ == SessionSide::kAccepting; }
  // Unsent bytes of all streams.
  size_t queued_bytes() const noexcept { return queued_bytes_; }

 private:
  struct Callbacks;
  enum class StreamKind { kUnknown, kControl, kRun };

  struct Stream {
    explicit Stream(size_t max_message_bytes) : reader(max_message_bytes) {}

    StreamKind kind = StreamKind::kUnknown;
    StreamId id;              // none: the listener is not to hear of it
    bool handed_out = false;  // its HEADERS were taken for writing
    bool responded = false;   // accepting end: the response was submitted
    bool finished = false;    // the last message is in `out`
    MessageReader reader;
    OutgoingBytes out;
    // Opening end: an event is kept until the frame that completes it is known
    // to end the stream or not.
    std::optional<pb::RunEvent> held;
  };

  void CreateSession();
  void SubmitSettings();
  void OpenControlStream();
  Stream* FindStream(int32_t number);
  bool AddAcceptedStream(int32_t number);
  bool SetPath(int32_t number, std::string_view path);
  bool StartAccepted(int32_t number);
  bool TakeData(int32_t number, std::string_view bytes);
  ReadStatus NextMessage(Stream& stream, std::string_view& payload);
  bool TakeControls(Stream& stream);
  bool TakeRunRequest(int32_t number, Stream& stream);
  bool TakeRunEvents(int32_t number, Stream& stream);
  bool EndData(int32_t number, bool end_of_stream);
  void ReleaseHeld(Stream& stream, bool last);
  void CloseStream(int32_t number, bool refused);
  void Forget(std::unordered_map<int32_t, Stream>::iterator it);
  void Lose(Stream& stream, bool refused);
  void Reset(int32_t number, uint32_t code);
  void Drop(int32_t number, uint32_t code);
  bool Queue(int32_t number, Stream& stream, std::string message);
  int32_t SubmitRequest(std::string_view path);
  void SubmitResponse(int32_t number);
  int64_t ReadOutgoing(int32_t number, uint8_t* target, size_t capacity,
                       uint32_t& flags);

  const SessionSide side_;
  const TransportSettings& settings_;
  SessionListener& listener_;
  TransportCounters& counters_;
  std::unordered_map<int32_t, Stream> streams_;
  std::unordered_map<StreamId, int32_t> numbers_;
  int32_t control_number_ = 0;
  size_t queued_bytes_ = 0;
  size_t waiting_bytes_ = 0;  // of incomplete messages, all streams
  bool used_up_ = false;
  bool broken_ = false;
  // Last: its end calls back into the members above.
  nghttp2_session* session_ = nullptr;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_HTTP2_SESSION_H_
