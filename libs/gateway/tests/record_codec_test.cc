#include "peers/record_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile::gateway {

TEST_CASE("records arrive as they were packed, any number in one message") {
  std::string words;
  for (int i = 0; i < 2000; ++i) words += "word " + std::to_string(i % 50);
  const StoreRecord result{"segment.a.000001", words};
  const StoreRecord empty{"end.a", ""};
  const std::string packed = PackRecord(result);
  CHECK(packed.size() * 2 < words.size());
  const auto pushed =
      DecodePush(EncodePush("entry-1", 7, 12, packed + PackRecord(empty)));
  REQUIRE(pushed);
  CHECK(pushed->gateway == "entry-1");
  CHECK(pushed->start == 7);
  CHECK(pushed->count == 12);
  REQUIRE(pushed->records.size() == 2);
  CHECK(pushed->records[0].name == result.name);
  CHECK(pushed->records[0].value == words);
  CHECK(pushed->records[1].value.empty());
}

// Bytes that no entry sent, or a message that was cut: taken for records they
// would put wrong results into the book.
TEST_CASE("what is no message of records is refused") {
  const std::string good =
      EncodePush("entry-1", 7, 1, PackRecord({"job.a", std::string(999, 'a')}));
  REQUIRE(DecodePush(good));
  CHECK_FALSE(DecodePush(""));
  CHECK_FALSE(DecodePush("{}"));
  for (size_t bytes = 1; bytes < good.size(); ++bytes) {
    const auto cut = DecodePush(good.substr(0, bytes));
    CHECK((!cut || cut->records.empty()));
  }
  for (size_t at = 0; at < good.size(); ++at) {
    std::string other = good;
    other[at] ^= 0x5a;
    (void)DecodePush(other);  // may be refused or not; ends either way
  }
}

}  // namespace knapweedstile::gateway
