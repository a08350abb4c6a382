#ifndef KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "platform/store_answer.h"

namespace knapweedstile::gateway {

// The result of one store read, as a gateway forwards it to its peers.
struct StoreUpdate {
  std::string kind;
  uint64_t after = 0;  // revision that the read continued from
  // Digest of the state at `after`: a mirror with the same digest lacks no
  // earlier change.
  uint64_t digest_before = 0;
  uint64_t as_of = 0;  // complete up to this revision
  std::vector<platform::StoredObject> objects;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_STORE_UPDATE_H_
