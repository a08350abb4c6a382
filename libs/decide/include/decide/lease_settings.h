#ifndef KNAPWEEDSTILE_DECIDE_LEASE_SETTINGS_H_
#define KNAPWEEDSTILE_DECIDE_LEASE_SETTINGS_H_

#include <cstdint>

#include "base/time.h"

namespace knapweedstile::decide {

struct LeaseSettings {
  // How long a candidate sees the version unchanged before it takes over.
  // Ground: longer than a slow write to the store (seconds), short against the
  // time batch work may stand still. To be measured in an outage.
  Duration term = std::chrono::seconds(15);
  // The holder stops this much earlier, in thousandths of the term, since two
  // clocks do not run at exactly one rate. Ground: crystals differ by less than
  // one thousandth; ten of them leave room for a clock that is being slewed.
  uint32_t drift_permille = 10;
  // For tests only: what goes wrong without the rule.
  bool count_from_sending = true;  // false: from the answer
  bool wait_for_term = true;  // false: take over a lease of another at once
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_LEASE_SETTINGS_H_
