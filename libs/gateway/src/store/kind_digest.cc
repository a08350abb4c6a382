#include "store/kind_digest.h"

#include "base/hash.h"

namespace knapweedstile::gateway {

void KindDigest::Reset(const std::vector<platform::StoredObject>& objects) {
  versions_.clear();
  value_ = 0;
  for (const platform::StoredObject& object : objects) Apply(object);
}

// XOR of the hashes of all objects, so that an update costs only as much as the
// changed object.
void KindDigest::Apply(const platform::StoredObject& object) {
  const auto previous = versions_.find(object.name);
  if (previous != versions_.end()) {
    value_ ^= Hash64(object.name, previous->second);
    versions_.erase(previous);
  }
  if (object.deleted) return;
  versions_[object.name] = object.version;
  value_ ^= Hash64(object.name, object.version);
}

}  // namespace knapweedstile::gateway
