#ifndef KNAPWEEDSTILE_JOBS_LEASE_SETTINGS_H_
#define KNAPWEEDSTILE_JOBS_LEASE_SETTINGS_H_

#include "base/time.h"

namespace knapweedstile::jobs {

struct LeaseSettings {
  // How long a lease stands without a write. Longer than the platform's usual
  // hiccups, short enough that a lost owner's items wait seconds.
  Duration term = std::chrono::seconds(15);
  // A third of the term: two renewals may fail before the lease lapses.
  Duration renew_after = std::chrono::seconds(5);
  // How often a candidate reads the object.
  Duration poll_every = std::chrono::seconds(4);
  // The holder counts this much less than the term, against clocks that run at
  // different rates.
  Duration margin = std::chrono::milliseconds(1500);
  Duration call_timeout = std::chrono::seconds(3);

  // Guards, switched off only for proofs.
  // Off: a conflicting write is sent again over whatever stands there.
  bool conditional_writes = true;
  // Off: after a lost answer the present object is taken for one's own write.
  bool compare_writer = true;
  // Off: the holder does not look at its own clock.
  bool stop_on_own_clock = true;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_LEASE_SETTINGS_H_
