#ifndef KNAPWEEDSTILE_GATEWAY_KIND_DIGEST_H_
#define KNAPWEEDSTILE_GATEWAY_KIND_DIGEST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "platform/store_answer.h"

namespace knapweedstile::gateway {

// A digest of the names and versions of all objects of a kind. Two mirrors with
// the same digest hold the same objects, regardless of the revisions they have
// read up to.
class KindDigest {
 public:
  void Reset(const std::vector<platform::StoredObject>& objects);
  void Apply(const platform::StoredObject& object);
  uint64_t value() const noexcept { return value_; }

 private:
  std::map<std::string, uint64_t> versions_;  // by name
  uint64_t value_ = 0;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_KIND_DIGEST_H_
