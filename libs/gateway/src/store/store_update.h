#ifndef KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "platform/store_answer.h"

namespace knapweedstile::gateway {

// What one read of the store has brought, as one entry passes it to others.
struct StoreUpdate {
  std::string kind;
  uint64_t after = 0;  // revision that the read went on from
  // Of what there was at `after`: who has the same lacks nothing before it.
  uint64_t digest_before = 0;
  uint64_t as_of = 0;  // complete up to this revision
  std::vector<platform::StoredObject> objects;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_H_
