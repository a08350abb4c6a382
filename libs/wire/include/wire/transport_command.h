#ifndef KNAPWEEDSTILE_WIRE_TRANSPORT_COMMAND_H_
#define KNAPWEEDSTILE_WIRE_TRANSPORT_COMMAND_H_

#include <string>
#include <variant>

#include "base/id.h"
#include "knapweedstile.pb.h"

namespace knapweedstile::wire {

// Commands to the transport. Ids of peers and streams opened here are chosen by
// the sender of the command (any nonzero value below 2^63); ids of accepted
// peers and streams are chosen by the transport and have the top bit set.

// Connects and goes on reconnecting, with jittered backoff, until Disconnect.
struct ConnectCommand {
  PeerId peer;
  std::string address;  // "IP:PORT"
};

struct DisconnectCommand {
  PeerId peer;
};

// Answered by StreamClosedEvent with kNotSent at once when the peer is down.
struct OpenStreamCommand {
  PeerId peer;
  StreamId stream;
  pb::RunRequest request;
};

// Either end; a StreamClosedEvent does not follow at the end that cancels.
struct CancelStreamCommand {
  StreamId stream;
};

// Accepting end: one event; the last one closes the stream.
struct SendEventCommand {
  StreamId stream;
  pb::RunEvent event;
  bool last = false;
};

struct SendControlCommand {
  PeerId peer;
  pb::Control control;
};

// What every heartbeat carries from now on (sequence and echo are filled in by
// the transport).
struct SetHeartbeatCommand {
  pb::Heartbeat heartbeat;
};

using TransportCommand =
    std::variant<ConnectCommand, DisconnectCommand, OpenStreamCommand,
                 CancelStreamCommand, SendEventCommand, SendControlCommand,
                 SetHeartbeatCommand>;

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_TRANSPORT_COMMAND_H_
