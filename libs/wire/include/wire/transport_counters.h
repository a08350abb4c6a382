#ifndef KNAPWEEDSTILE_WIRE_TRANSPORT_COUNTERS_H_
#define KNAPWEEDSTILE_WIRE_TRANSPORT_COUNTERS_H_

#include <cstdint>

namespace knapweedstile::wire {

// What the transport refused or lost since its start, for the metrics.
struct TransportCounters {
  uint64_t streams_over_queue = 0;    // reset: unsent bytes over the bound
  uint64_t streams_refused = 0;       // accepted side: over max_streams
  uint64_t messages_too_large = 0;    // refused here before they were sent
  uint64_t controls_over_queue = 0;   // control messages not queued
  uint64_t connections_silent = 0;    // closed by the silence limit
  uint64_t connections_protocol = 0;  // closed after broken messages or frames
  uint64_t events_delayed = 0;        // the sink did not take them at once
};

}  // namespace knapweedstile::wire

#endif  // KNAPWEEDSTILE_WIRE_TRANSPORT_COUNTERS_H_
