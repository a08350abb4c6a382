#ifndef KNAPWEEDSTILE_OBSERVE_TIMELINE_EVENT_H_
#define KNAPWEEDSTILE_OBSERVE_TIMELINE_EVENT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace knapweedstile::observe {

// One event in one process, timed by that process's wall clock. The request id
// (or JOB/INDEX of a batch item) is the same in every process, so that readers
// can join events.
struct TimelineEvent {
  uint64_t sequence = 0;
  int64_t wall_clock_nanos = 0;  // end of the event
  int64_t duration_nanos = 0;    // zero: instantaneous
  std::string name;
  std::string request;
  std::vector<std::pair<std::string, std::string>> args;
};

}  // namespace knapweedstile::observe

#endif  // KNAPWEEDSTILE_OBSERVE_TIMELINE_EVENT_H_
