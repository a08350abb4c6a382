#ifndef KNAPWEEDSTILE_SERVING_PACE_SAMPLE_H_
#define KNAPWEEDSTILE_SERVING_PACE_SAMPLE_H_

#include "base/time.h"
#include "base/traffic_class.h"

namespace knapweedstile::serving {

enum class PaceStep {
  kEvent,       // between two events of a stream
  kFirstEvent,  // from sending to the first event, without a queue
  kResponse,    // from sending to the end of a response without events
};

// The time that a backend server took for one step of a request.
struct PaceSample {
  PaceStep step = PaceStep::kEvent;
  TrafficClass traffic = TrafficClass::kOnline;
  double load = 0;  // share of the server's slots in use
  Duration time{};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_PACE_SAMPLE_H_
