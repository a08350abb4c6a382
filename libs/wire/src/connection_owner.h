#ifndef KNAPWEEDSTILE_WIRE_CONNECTION_OWNER_H_
#define KNAPWEEDSTILE_WIRE_CONNECTION_OWNER_H_

#include <span>

#include "base/id.h"
#include "wire/transport_counters.h"
#include "wire/transport_event.h"
#include "wire/transport_settings.h"

namespace knapweedstile::wire {

// What a connection needs of the transport that holds it.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;

  virtual const TransportSettings& settings() const = 0;
  // What heartbeats carry at present.
  virtual const pb::Heartbeat& heartbeat() const = 0;
  virtual TransportCounters& counters() = 0;
  // Shared by all connections, which read one after the other on one thread: a
  // buffer for each would be two thirds of a connection's memory.
  virtual std::span<char> read_buffer() = 0;
  virtual StreamId NewStreamId() = 0;
  // Queues an event for the sink.
  virtual void Publish(TransportEvent&& event) = 0;
  // Hands queued events over; false while the sink refuses: do not read on.
  virtual bool DeliverEvents() = 0;
  // The connection has closed its socket and reported its streams as lost.
  virtual void OnConnectionClosed(PeerId peer, PeerDownReason reason) = 0;
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_CONNECTION_OWNER_H_
