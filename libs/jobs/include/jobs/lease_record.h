#ifndef KNAPWEEDSTILE_JOBS_LEASE_RECORD_H_
#define KNAPWEEDSTILE_JOBS_LEASE_RECORD_H_

#include <cstdint>
#include <string>

namespace knapweedstile::jobs {

// Who holds a shard.
struct LeaseRecord {
  uint64_t fence = 0;        // rises by one with each new holder
  std::string holder;        // the VM's name; empty: released
  uint64_t incarnation = 0;  // of the holder's process
  std::string writer;        // token of the write that stored this
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_LEASE_RECORD_H_
