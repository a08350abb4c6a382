#ifndef KNAPWEEDSTILE_WIRE_TRANSPORT_EVENT_H_
#define KNAPWEEDSTILE_WIRE_TRANSPORT_EVENT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/enum_names.h"
#include "base/id.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::wire {

enum class PeerDownReason {
  kRefused,    // could not connect
  kClosed,     // the other end closed or reset the connection
  kSilent,     // heartbeats stopped; the connection is replaced
  kProtocol,   // the other end broke the protocol
  kRequested,  // DisconnectCommand
};

// How a stream that this end opened was lost before its last event.
enum class StreamLoss {
  kNotSent,  // no byte of the request was handed to the connection
  kUnknown,  // the request may have reached the other process
};

// The peer's Hello has arrived: it can be used.
struct PeerUpEvent {
  PeerId peer;
  bool accepted = false;  // the other end connected to us
  pb::Hello hello;
};

struct PeerDownEvent {
  PeerId peer;
  PeerDownReason reason = PeerDownReason::kClosed;
  uint32_t failures = 0;  // connection attempts failed in a row
};

// Heartbeats and configuration messages.
struct ControlEvent {
  PeerId peer;
  pb::Control control;
  // Other end's wall clock minus ours as of this heartbeat, from the round trip
  // of the echo; zero until the first echo.
  int64_t clock_offset_nanos = 0;
  int64_t round_trip_nanos = 0;
};

// Accepting end: a new request stream.
struct StreamOpenedEvent {
  PeerId peer;
  StreamId stream;
  pb::RunRequest request;
};

// Opening end: one event of the stream.
struct StreamEvent {
  StreamId stream;
  pb::RunEvent event;
  bool last = false;  // the stream is closed and its id forgotten
};

// Opening end: lost. Accepting end: the opener cancelled or went away.
struct StreamClosedEvent {
  StreamId stream;
  StreamLoss loss = StreamLoss::kUnknown;
};

using TransportEvent =
    std::variant<PeerUpEvent, PeerDownEvent, ControlEvent, StreamOpenedEvent,
                 StreamEvent, StreamClosedEvent>;

}  // namespace knapweedstile::wire

namespace knapweedstile {

template <>
inline constexpr std::array<std::string_view, 5>
    kEnumNames<wire::PeerDownReason> = {"refused", "closed", "silent",
                                        "protocol", "requested"};
template <>
inline constexpr std::array<std::string_view, 2> kEnumNames<wire::StreamLoss> =
    {"not_sent", "unknown"};

}  // namespace knapweedstile

#endif  // KNAPWEEDSTILE_WIRE_TRANSPORT_EVENT_H_
