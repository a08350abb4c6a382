#ifndef KNAPWEEDSTILE_SERVING_CRASHING_PART_REPORT_H_
#define KNAPWEEDSTILE_SERVING_CRASHING_PART_REPORT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

// The end of a server's process while it worked on a request.
struct ServerCrash {
  ServerProcessId process;
  uint64_t request = 0;  // fingerprint
  TimePoint sent_at;     // the request, to the server
  TimePoint ended_at;
};

// What one gateway tells its peers of a part of prompts. Times are those of the
// gateway that reads it.
struct CrashingPartReport {
  uint64_t part = 0;
  uint32_t position = 0;  // parts before it in its prompts
  std::vector<ServerCrash> crashes;
  // The part crashed no server by then: a request with it was answered
  // completely, or another part explains the crashes.
  std::optional<TimePoint> cleared_at;
  std::optional<TimePoint> quarantined_until;
  // Of a quarantined part; unset by gateways of versions without trials.
  std::optional<TimePoint> next_trial_at;
  uint32_t failed_trials = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CRASHING_PART_REPORT_H_
