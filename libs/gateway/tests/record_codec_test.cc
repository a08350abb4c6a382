#include "peers/record_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile::gateway {

TEST_CASE("packed records are decoded from a message unchanged") {
  std::string text;
  for (int i = 0; i < 2000; ++i) text += "word " + std::to_string(i % 50);
  const StoreRecord result{"segment.a.000001", text};
  const StoreRecord empty{"end.a", ""};
  const std::string packed = PackRecord(result);
  CHECK(packed.size() * 2 < text.size());
  const auto pushed =
      DecodePush(EncodePush("entry-1", 7, 12, packed + PackRecord(empty)));
  REQUIRE(pushed);
  CHECK(pushed->gateway == "entry-1");
  CHECK(pushed->start == 7);
  CHECK(pushed->count == 12);
  REQUIRE(pushed->records.size() == 2);
  CHECK(pushed->records[0].name == result.name);
  CHECK(pushed->records[0].value == text);
  CHECK(pushed->records[1].value.empty());
  CHECK_FALSE(pushed->records[0].is_outline);
  const auto outline = DecodePush(
      EncodePush("entry-1", 7, 1, PackRecord({"job.a", "{}", true})));
  REQUIRE(outline);
  CHECK(outline->records[0].is_outline);
  CHECK(UnpackText(PackText(text)) == text);
  CHECK_FALSE(UnpackText("no packed text"));
}

// Guards against bytes that no gateway sent and truncated messages. Decoded as
// records, they would put wrong results into the job table.
TEST_CASE("invalid record messages are rejected") {
  const std::string valid =
      EncodePush("entry-1", 7, 1, PackRecord({"job.a", std::string(999, 'a')}));
  REQUIRE(DecodePush(valid));
  CHECK_FALSE(DecodePush(""));
  CHECK_FALSE(DecodePush("{}"));
  for (size_t bytes = 1; bytes < valid.size(); ++bytes) {
    const auto truncated = DecodePush(valid.substr(0, bytes));
    CHECK((!truncated || truncated->records.empty()));
  }
  for (size_t at = 0; at < valid.size(); ++at) {
    std::string corrupted = valid;
    corrupted[at] ^= 0x5a;
    (void)DecodePush(corrupted);  // may be rejected or not, but must return
  }
}

}  // namespace knapweedstile::gateway
