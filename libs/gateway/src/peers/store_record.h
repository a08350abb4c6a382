#ifndef KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_

#include <string>

namespace knapweedstile::gateway {

// A record that the gateways keep in the store (see job_records.h).
struct StoreRecord {
  std::string name;
  std::string value;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_
