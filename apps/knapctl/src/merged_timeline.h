#ifndef KNAPWEEDSTILE_KNAPCTL_MERGED_TIMELINE_H_
#define KNAPWEEDSTILE_KNAPCTL_MERGED_TIMELINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "merged_event.h"

namespace knapweedstile::ctl {

// Merges the timelines of several processes on the clock of this program.
class MergedTimeline {
 public:
  // Reads the full timeline of one process. The clock offset is estimated from
  // the request with the shortest round trip: the process read its clock within
  // that round trip, so the error is at most half of it. Returns false if the
  // process does not respond.
  bool AddProcess(const std::string& admin);
  // Orders the events by time. Call once after the last AddProcess.
  void Sort();

  const std::vector<MergedEvent>& events() const noexcept { return events_; }
  // One line per process: name, clock offset and its uncertainty.
  std::string ClockReport() const;
  // Chrome trace JSON with one process per node and one thread per lane of
  // non-overlapping requests.
  std::string ChromeTrace() const;
  // The events of one request or item as text, one line each; empty if there
  // are none.
  std::string RequestText(const std::string& request) const;

 private:
  struct Process {
    std::string node;
    int64_t offset_nanos = 0;  // process clock minus own clock
    int64_t uncertainty_nanos = 0;
  };

  std::vector<Process> processes_;
  std::vector<MergedEvent> events_;
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_MERGED_TIMELINE_H_
