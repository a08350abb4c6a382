#ifndef KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_

#include <string>

namespace knapweedstile::gateway {

// One of the system's own objects in the store (job_records.h).
struct StoreRecord {
  std::string name;
  std::string value;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_
