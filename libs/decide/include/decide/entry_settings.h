#ifndef KNAPWEEDSTILE_DECIDE_ENTRY_SETTINGS_H_
#define KNAPWEEDSTILE_DECIDE_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "decide/entry_rules.h"

namespace knapweedstile::decide {

// Fixed by the entry's settings file, but for `rules`.
struct EntrySettings {
  std::string availability_zone;
  uint32_t queue_limit = 1024;           // requests waiting in this entry
  uint32_t workspace_queue_limit = 256;  // of one workspace
  // Share of its time to the deadline that a request may be expected to wait
  // here when it arrives. Lower: short waits and quick recovery under lasting
  // overload; higher: more of a short burst is answered.
  uint32_t longest_wait_percent = 50;
  EntryRules rules;  // for comparison in measurements
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_ENTRY_SETTINGS_H_
