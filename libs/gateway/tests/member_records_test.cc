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

TEST_CASE("a claim is decoded as it was encoded") {
  for (const auto state :
       {cluster::ClaimState::kClaimed, cluster::ClaimState::kRefuted,
        cluster::ClaimState::kDeparted}) {
    const cluster::CellClaim claim{
        .cell = {.availability_zone = "zone.b", .parts = 4, .part = 3},
        .state = state,
        .gateway = "front-1"};
    CHECK(DecodeClaim(EncodeClaim(claim)) == claim);
    CHECK(IsClaimRecordName(ClaimRecordName(claim.cell)));
    CHECK_FALSE(ParseMemberRecordName(ClaimRecordName(claim.cell)));
  }
}

// Guards against a departure that is guessed from a record of another form.
TEST_CASE("a claim that is not valid is refused") {
  for (const char* text :
       {"", "[]", "{}", R"({"state":"departed","gateway":"a"})",
        R"({"cell":{"zone":"a","parts":1,"part":0},"gateway":"a"})",
        R"({"cell":{"zone":"a","parts":1,"part":0},"state":"gone",
            "gateway":"a"})",
        R"({"cell":{"zone":"a","parts":1,"part":1},"state":"departed",
            "gateway":"a"})",
        R"({"cell":"a","state":"departed","gateway":"a"})"}) {
    CAPTURE(text);
    CHECK_FALSE(DecodeClaim(text));
  }
}

}  // namespace knapweedstile::gateway
