#ifndef KNAPWEEDSTILE_WIRE_TRANSPORT_SETTINGS_H_
#define KNAPWEEDSTILE_WIRE_TRANSPORT_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "knapweedstile.pb.h"

namespace knapweedstile::wire {

struct TransportSettings {
  pb::Hello hello;  // what this process says of itself
  std::chrono::milliseconds heartbeat_period{500};
  // A connection from which nothing came for this long is replaced.
  std::chrono::milliseconds silence_limit{2000};
  std::chrono::milliseconds connect_timeout{1000};
  std::chrono::milliseconds reconnect_first{50};
  std::chrono::milliseconds reconnect_most{2000};
  uint32_t max_streams = 4096;           // accepted, on one connection
  uint32_t max_message_bytes = 8 << 20;  // one protobuf message
  uint32_t max_queued_bytes = 16 << 20;  // unsent, on one connection
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_TRANSPORT_SETTINGS_H_
