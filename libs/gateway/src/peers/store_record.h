#ifndef KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_

#include <string>

namespace knapweedstile::gateway {

// A record that the gateways keep in the store (see job_records.h).
struct StoreRecord {
  std::string name;
  std::string value;
  // An outline of the record, without bodies and outputs (job_records.h).
  bool is_outline = false;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_RECORD_H_
