#ifndef KNAPWEEDSTILE_KNAPCTL_MERGED_EVENT_H_
#define KNAPWEEDSTILE_KNAPCTL_MERGED_EVENT_H_

#include <cstdint>
#include <string>

namespace knapweedstile::ctl {

// One event of one process, on this program's clock.
struct MergedEvent {
  int64_t nanos = 0;
  int64_t duration_nanos = 0;
  size_t process = 0;
  std::string name;
  std::string request;
  std::string args;  // JSON
};

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_MERGED_EVENT_H_
