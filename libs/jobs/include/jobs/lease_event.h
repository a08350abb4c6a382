#ifndef KNAPWEEDSTILE_JOBS_LEASE_EVENT_H_
#define KNAPWEEDSTILE_JOBS_LEASE_EVENT_H_

#include <variant>

#include "jobs/shard_head.h"

namespace knapweedstile::jobs {

// The lease is held; `head` is what is committed now.
struct LeaseAcquired {
  ShardHead head;
};

// The last ShardLease::Write() has taken effect.
struct LeaseCommitted {};

// Another holder has the shard, or it was released: nothing that was not
// committed may be kept.
struct LeaseLost {};

using LeaseEvent = std::variant<LeaseAcquired, LeaseCommitted, LeaseLost>;

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_LEASE_EVENT_H_
