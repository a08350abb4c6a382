#ifndef KNAPWEEDSTILE_DECIDE_LEASE_ACTION_H_
#define KNAPWEEDSTILE_DECIDE_LEASE_ACTION_H_

#include <cstdint>
#include <variant>

#include "decide/lease_record.h"

namespace knapweedstile::decide {

// Read the object; answer with Lease::OnRead.
struct LeaseReadAction {};

// Write the object if its version still is `if_version` (0: absent); answer
// with Lease::OnWrite.
struct LeaseWriteAction {
  uint64_t if_version = 0;
  LeaseRecord record;
};

// The lease is held from now on; every write under it carries `fence`.
struct LeaseAcquiredAction {
  uint64_t fence = 0;
};

// The lease is no longer held.
struct LeaseLostAction {
  uint64_t fence = 0;
};

using LeaseAction = std::variant<LeaseReadAction, LeaseWriteAction,
                                 LeaseAcquiredAction, LeaseLostAction>;

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_LEASE_ACTION_H_
