#include "peers/member_records.h"

#include <catch2/catch.hpp>

namespace knapweedstile::gateway {

TEST_CASE("a layout is decoded as it was encoded") {
  const cluster::FleetLayout layout{
      .shards = 8,
      .cells = {{.availability_zone = "zone-a"},
                {.availability_zone = "zone-b", .parts = 2, .part = 1}}};
  CHECK(DecodeLayout(EncodeLayout(layout)) == layout);
  CHECK(DecodeLayout(EncodeLayout({})) == cluster::FleetLayout());
}

// Guards against gateways that locate jobs by a guessed layout.
TEST_CASE("a layout that is not valid is refused as a whole") {
  CHECK(DecodeLayout(R"({"shards":4})"));
  for (const char* text :
       {"", "[]", "{}", R"({"shards":0})", R"({"shards":"4"})",
        R"({"shards":4,"cells":{}})", R"({"shards":4,"cells":[1]})",
        R"({"shards":4,"cells":[{"zone":"a","parts":2}]})",
        R"({"shards":4,"cells":[{"zone":"a","parts":2,"part":2}]})",
        R"({"shards":4,"cells":[{"zone":"a","parts":0,"part":0}]})",
        R"({"shards":4,"cells":[{"zone":1,"parts":1,"part":0}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeLayout(text));
  }
}

}  // namespace knapweedstile::gateway
