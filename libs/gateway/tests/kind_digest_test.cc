#include "store/kind_digest.h"

#include <catch2/catch.hpp>

namespace knapweedstile::gateway {
namespace {

platform::StoredObject ObjectOf(const std::string& name, uint64_t version,
                                bool deleted = false) {
  return {.name = name, .version = version, .deleted = deleted};
}

}  // namespace

TEST_CASE("mirrors with the same objects have the same digest") {
  KindDigest listed;
  listed.Reset({ObjectOf("b", 4), ObjectOf("a", 9)});
  KindDigest followed;
  followed.Apply(ObjectOf("a", 2));
  followed.Apply(ObjectOf("c", 3));
  followed.Apply(ObjectOf("b", 4));
  followed.Apply(ObjectOf("c", 3, true));
  CHECK(listed.value() != followed.value());
  followed.Apply(ObjectOf("a", 9));
  CHECK(listed.value() == followed.value());
  listed.Reset({});
  CHECK(listed.value() == KindDigest().value());
}

}  // namespace knapweedstile::gateway
