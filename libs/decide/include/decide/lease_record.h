#ifndef KNAPWEEDSTILE_DECIDE_LEASE_RECORD_H_
#define KNAPWEEDSTILE_DECIDE_LEASE_RECORD_H_

#include <cstdint>
#include <string>

namespace knapweedstile::decide {

// The value of a lease object in the store.
struct LeaseRecord {
  std::string holder;     // unique to one run of one process
  uint64_t write = 0;     // number of this write among its holder's writes
  uint64_t fence = 0;     // rises with each acquisition
  bool released = false;  // given up by its holder: nobody has to wait

  bool operator==(const LeaseRecord&) const = default;
};

}  // namespace knapweedstile::decide

#endif  // KNAPWEEDSTILE_DECIDE_LEASE_RECORD_H_
