#ifndef KNAPWEEDSTILE_KNAPCTL_MERGED_TIMELINE_H_
#define KNAPWEEDSTILE_KNAPCTL_MERGED_TIMELINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "merged_event.h"

namespace knapweedstile::ctl {

// The time lines of several processes on one clock, this program's.
class MergedTimeline {
 public:
  // Reads one process's time line whole. Its clock's offset is taken from the
  // read with the shortest round trip: the process's clock was read somewhere
  // inside that trip, so the offset is right within half of it. False when it
  // does not answer.
  bool AddProcess(const std::string& admin);
  // Call once all have been added.
  void Sort();

  const std::vector<MergedEvent>& events() const noexcept { return events_; }
  // What is known of each process: name, offset and its uncertainty.
  std::string ClockReport() const;
  // Chrome trace JSON: a process a node, a lane a request.
  std::string ChromeTrace() const;
  // What happened to one request or item, a line an event.
  std::string TextOf(const std::string& request) const;

 private:
  struct Process {
    std::string node;
    int64_t offset_nanos = 0;  // its clock minus ours
    int64_t uncertainty_nanos = 0;
  };

  std::vector<Process> processes_;
  std::vector<MergedEvent> events_;
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_MERGED_TIMELINE_H_
