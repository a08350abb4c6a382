#ifndef KNAPWEEDSTILE_KNAPCTL_MERGED_EVENT_H_
#define KNAPWEEDSTILE_KNAPCTL_MERGED_EVENT_H_

#include <cstdint>
#include <string>

namespace knapweedstile::ctl {

// One event of one process. Times are on the clock of this program.
struct MergedEvent {
  int64_t nanos = 0;  // end of the event, since the epoch
  int64_t duration_nanos = 0;
  size_t process = 0;  // index in the order of AddProcess
  std::string name;
  std::string request;
  std::string args;  // JSON
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_MERGED_EVENT_H_
